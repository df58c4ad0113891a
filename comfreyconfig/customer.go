package comfreyconfig

import (
	"crypto/sha256"
	"encoding/hex"
)

// Limits of a customer's values.
const (
	maxConcurrentStreams     = 100_000
	defaultConcurrentStreams = 16
	minTokenWeight           = 0.01
	maxTokenWeight           = 1000
)

// Customer is one customer. Customers are immutable values.
type Customer struct {
	// Name identifies the customer in rules, logs and counters.
	Name string
	// KeyHashes are the SHA-256 hashes of its bearer keys, in lower-case hex.
	// A customer without a hash cannot call.
	KeyHashes []string
	// ConcurrentStreams is how many requests it may have open at one gateway,
	// from 1 to 100,000; 16 by default.
	ConcurrentStreams int
	// TokenWeight is its share of tokens against that of other customers,
	// from 0.01 to 1,000; 1 by default.
	TokenWeight float64
}

var customerFields = []field[Customer]{
	listField("key-hashes", "write the SHA-256 hashes of its keys, each once", func(c *Customer) *[]string { return &c.KeyHashes }),
	intField("concurrent-streams", 1, maxConcurrentStreams, func(c *Customer) *int { return &c.ConcurrentStreams }),
	numberField("token-weight", minTokenWeight, maxTokenWeight, func(c *Customer) *float64 { return &c.TokenWeight }),
}

// NewCustomer returns a customer with the default limits and no key.
func NewCustomer(name string) Customer {
	return Customer{Name: name, ConcurrentStreams: defaultConcurrentStreams, TokenWeight: 1}
}

// WithKey returns a copy of c that also accepts the bearer key.
func (c Customer) WithKey(bearer string) Customer {
	c.KeyHashes = append(c.KeyHashes[:len(c.KeyHashes):len(c.KeyHashes)], HashKey(bearer))
	return c
}

// HashKey returns the hash by which a folder names a bearer key: SHA-256 in
// lower-case hex.
func HashKey(bearer string) string {
	h := sha256.Sum256([]byte(bearer))
	return hex.EncodeToString(h[:])
}

// isHash reports whether s is a SHA-256 hash in lower-case hex.
func isHash(s string) bool {
	b, err := hex.DecodeString(s)
	return err == nil && len(b) == sha256.Size && hex.EncodeToString(b) == s
}
