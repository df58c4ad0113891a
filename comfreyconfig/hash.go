package comfreyconfig

import (
	"crypto/sha256"
	"encoding/hex"
	"fmt"
)

// Hash is the SHA-256 hash of a blob: a file, a manifest or a host list. The
// zero value stands for no blob.
type Hash [sha256.Size]byte

// HashOf returns the hash of b.
func HashOf(b []byte) Hash {
	return sha256.Sum256(b)
}

// String returns h in lower-case hex.
func (h Hash) String() string {
	return hex.EncodeToString(h[:])
}

// Short returns the first 8 characters of h, for logs.
func (h Hash) Short() string {
	return h.String()[:8]
}

// MarshalText implements encoding.TextMarshaler.
func (h Hash) MarshalText() ([]byte, error) {
	return []byte(h.String()), nil
}

// UnmarshalText implements encoding.TextUnmarshaler. It returns an error
// unless b is 64 characters of hex.
func (h *Hash) UnmarshalText(b []byte) error {
	if hex.DecodedLen(len(b)) != len(h) {
		return fmt.Errorf("comfreyconfig: expected a hash of %d hex characters, got %d", hex.EncodedLen(len(h)), len(b))
	}
	if _, err := hex.Decode(h[:], b); err != nil {
		return fmt.Errorf("comfreyconfig: expected a hash in hex: %w", err)
	}
	return nil
}
