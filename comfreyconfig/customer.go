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
	// Every request of a customer without a hash is refused.
	KeyHashes []string
	// ConcurrentStreams is the maximum number of requests that it may have open
	// at one gateway, from 1 to 100,000; 16 by default.
	ConcurrentStreams int
	// TokenWeight is its share of tokens relative to other customers, from 0.01
	// to 1,000; 1 by default.
	TokenWeight float64
}

var customerFields = []field[Customer]{
	listField("key-hashes", "list the SHA-256 hash of each of its keys once", func(c *Customer) *[]string { return &c.KeyHashes }),
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

// HashKey returns the SHA-256 hash of a bearer key in lower-case hex, as
// key-hashes lists it.
func HashKey(bearer string) string {
	h := sha256.Sum256([]byte(bearer))
	return hex.EncodeToString(h[:])
}

// isKeyHash reports whether s is a SHA-256 hash in lower-case hex.
func isKeyHash(s string) bool {
	b, err := hex.DecodeString(s)
	return err == nil && len(b) == sha256.Size && hex.EncodeToString(b) == s
}
