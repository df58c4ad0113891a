package comfreyrpc

import (
	"bytes"
	"crypto/hmac"
	"crypto/rand"
	"crypto/sha256"
	"encoding/hex"
	"fmt"
	"io"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"
)

// AuthHeader carries the signature of a request between processes:
// "<unix milliseconds>.<nonce>.<MAC>".
const AuthHeader = "Comfrey-Auth"

const (
	// MinKeyBytes is the minimum length of a shared key.
	MinKeyBytes = 16
	// authWindow is how far the signer's clock may differ from this process's
	// clock. Without the check of nonces, a recorded request could be replayed
	// for that long.
	authWindow = time.Minute
	// nonceBytes is the length of the random part of a signature.
	nonceBytes = 12
	// maxNonces bounds the nonces in each of the two sets that cover the window.
	maxNonces = 1 << 16
	// MaxBodyBytes is the maximum length of the body of a request between
	// processes.
	MaxBodyBytes = 16 << 20
)

// Key is the secret that the processes of one fleet share and sign requests
// with. It is never logged.
type Key []byte

// ParseKey returns s as a shared key. It returns an error if s has fewer than
// MinKeyBytes bytes.
func ParseKey(s string) (Key, error) {
	if len(s) < MinKeyBytes {
		return nil, fmt.Errorf("comfreyrpc: the shared key has %d bytes, want at least %d", len(s), MinKeyBytes)
	}
	return Key(s), nil
}

// String returns a placeholder, so that the key does not appear in logs.
func (Key) String() string {
	return "[hidden]"
}

func (k Key) mac(method, path, stamp, nonce string, body []byte) string {
	digest := sha256.Sum256(body)
	m := hmac.New(sha256.New, k)
	fmt.Fprintf(m, "%s\n%s\n%s\n%s\n", method, path, stamp, nonce)
	m.Write(digest[:])
	return hex.EncodeToString(m.Sum(nil))
}

// Sign sets the AuthHeader of r for the given body at the given time.
func (k Key) Sign(r *http.Request, body []byte, now time.Time) {
	n := make([]byte, nonceBytes)
	_, _ = rand.Read(n)
	nonce := hex.EncodeToString(n)
	stamp := strconv.FormatInt(now.UnixMilli(), 10)
	r.Header.Set(AuthHeader, stamp+"."+nonce+"."+k.mac(r.Method, r.URL.Path, stamp, nonce, body))
}

// Verifier checks signed requests. It is safe for concurrent use.
type Verifier struct {
	key Key
	now func() time.Time

	mu       sync.Mutex
	rotated  time.Time
	recent   map[string]struct{}
	previous map[string]struct{}
}

// NewVerifier returns a verifier; a nil clock selects time.Now.
func NewVerifier(k Key, now func() time.Time) *Verifier {
	if now == nil {
		now = time.Now
	}
	return &Verifier{key: k, now: now, recent: map[string]struct{}{}, previous: map[string]struct{}{}}
}

// Verify returns an error if the signature of r does not prove that a process of
// the fleet sent it with this body, or if the signature was used before.
func (v *Verifier) Verify(r *http.Request, body []byte) error {
	parts := strings.Split(r.Header.Get(AuthHeader), ".")
	if len(parts) != 3 {
		return fmt.Errorf("comfreyrpc: malformed or missing signature")
	}
	want := v.key.mac(r.Method, r.URL.Path, parts[0], parts[1], body)
	if !hmac.Equal([]byte(want), []byte(parts[2])) {
		return fmt.Errorf("comfreyrpc: wrong signature")
	}
	millis, err := strconv.ParseInt(parts[0], 10, 64)
	if err != nil {
		return fmt.Errorf("comfreyrpc: malformed time stamp")
	}
	now := v.now()
	if d := now.Sub(time.UnixMilli(millis)); d > authWindow || d < -authWindow {
		return fmt.Errorf("comfreyrpc: signing time is %s off this process's clock", d)
	}
	return v.useNonce(now, parts[1])
}

// useNonce records a nonce. It returns an error if the nonce was already used
// within the window.
func (v *Verifier) useNonce(now time.Time, nonce string) error {
	v.mu.Lock()
	defer v.mu.Unlock()
	if now.Sub(v.rotated) > 2*authWindow || len(v.recent) >= maxNonces {
		v.previous = v.recent
		v.recent = map[string]struct{}{}
		v.rotated = now
	}
	_, r := v.recent[nonce]
	_, o := v.previous[nonce]
	if r || o {
		return fmt.Errorf("comfreyrpc: signature was already used")
	}
	v.recent[nonce] = struct{}{}
	return nil
}

// Middleware passes only requests with a valid signature to next. For each other
// request it calls refused and then responds with status 401.
func (v *Verifier) Middleware(next http.Handler, refused func(err error)) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		body, err := io.ReadAll(http.MaxBytesReader(w, r.Body, MaxBodyBytes))
		if err == nil {
			err = v.Verify(r, body)
		}
		if err != nil {
			refused(err)
			http.Error(w, "comfreyrpc: this port serves signed requests only", http.StatusUnauthorized)
			return
		}
		r.Body = io.NopCloser(bytes.NewReader(body))
		next.ServeHTTP(w, r)
	})
}
