package comfreyrpc

import (
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"
)

func TestVerifierRefusesInvalidRequests(t *testing.T) {
	now := time.Unix(1000, 0)
	clock := func() time.Time { return now }
	k := Key("0123456789abcdef")
	v := NewVerifier(k, clock)
	request := func(sign Key, at time.Time, body string) *http.Request {
		r := httptest.NewRequest(http.MethodPost, "/stream/start", strings.NewReader(body))
		sign.Sign(r, []byte(body), at)
		return r
	}
	good := request(k, now, "body")
	if err := v.Verify(good, []byte("body")); err != nil {
		t.Fatalf("a validly signed request was refused: %v", err)
	}
	if v.Verify(good, []byte("body")) == nil {
		t.Error("a signature was accepted twice")
	}
	if v.Verify(request(k, now, "body"), []byte("other")) == nil {
		t.Error("a signature of another body was accepted")
	}
	if v.Verify(request(Key("fedcba9876543210"), now, "body"), []byte("body")) == nil {
		t.Error("a signature with another key was accepted")
	}
	if v.Verify(request(k, now.Add(-2*time.Minute), "body"), []byte("body")) == nil {
		t.Error("a signature older than the window was accepted")
	}
	if v.Verify(httptest.NewRequest(http.MethodGet, "/", nil), nil) == nil {
		t.Error("an unsigned request was accepted")
	}
}
