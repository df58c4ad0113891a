package comfreyconnection_test

import (
	"bytes"
	"errors"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"comfreyridge.example/comfreyridge/comfreyconnection"
	"comfreyridge.example/comfreyridge/comfreyfakeserver"
)

// largeBody is larger than what the kernel buffers of a connection that is not read.
var largeBody = bytes.Repeat([]byte("x"), 16<<20)

// rawServer is a server with a response and an end of its connections.
type rawServer struct {
	response string
	end      func(c *net.TCPConn)
}

// listen starts the server, which ends with the test, and returns its address.
func (s rawServer) listen(t *testing.T) string {
	address, err := comfreyfakeserver.Raw{Respond: func(*http.Request) string { return s.response }, End: s.end}.Listen(t.Context())
	if err != nil {
		t.Fatal(err)
	}
	return address
}

// resetWhileWriting resets a connection whose client waits to write.
func resetWhileWriting(c *net.TCPConn) {
	time.Sleep(50 * time.Millisecond)
	comfreyfakeserver.Reset(c)
}

// closeUnread closes a connection of which a part was not read, which resets it.
func closeUnread(*net.TCPConn) {
	time.Sleep(50 * time.Millisecond)
}

// result is what a client has received.
type result struct {
	status int
	header http.Header
	body   string
	err    error
}

// isComplete reports whether a client would take the response for a complete one.
func (r result) isComplete() bool {
	return r.err == nil
}

// clients are the ways to send a request. Each reads the body after a delay.
func clients(t *testing.T) map[string]func(address string, body []byte, delay time.Duration) result {
	p := newPool(t, comfreyconnection.Config{})
	x := comfreyconnection.NewTransport(&http.Transport{DisableCompression: true})
	t.Cleanup(x.CloseIdleConnections)
	return map[string]func(address string, body []byte, delay time.Duration) result{
		"pool": func(address string, body []byte, delay time.Duration) result {
			a, err := p.Do(t.Context(), address, comfreyconnection.Request{Method: http.MethodPost, Target: "/", Host: address, Body: body})
			if err != nil {
				return result{err: err}
			}
			defer a.Close()
			time.Sleep(delay)
			b, err := io.ReadAll(a.Body)
			return result{a.Status, a.Header, string(b), err}
		},
		"transport": func(address string, body []byte, delay time.Duration) result {
			q, err := http.NewRequestWithContext(t.Context(), http.MethodPost, "http://"+address+"/", bytes.NewReader(body))
			if err != nil {
				return result{err: err}
			}
			a, err := x.RoundTrip(q)
			if err != nil {
				return result{err: err}
			}
			defer func() { _ = a.Body.Close() }()
			time.Sleep(delay)
			b, err := io.ReadAll(a.Body)
			return result{a.StatusCode, a.Header, string(b), err}
		},
	}
}

// TestResetDuringUploadIsNotTheEnd guards against a response without a length that breaks
// off while the request is being written, and that looks complete because the write has
// taken the error of the connection.
func TestResetDuringUploadIsNotTheEnd(t *testing.T) {
	for name, s := range map[string]rawServer{
		"reset":                   {"HTTP/1.1 200 OK\r\n\r\npart", resetWhileWriting},
		"closed unread":           {"HTTP/1.1 200 OK\r\n\r\npart", closeUnread},
		"closed unread, at once":  {"HTTP/1.1 200 OK\r\n\r\npart", nil},
		"closed after a part":     {"HTTP/1.1 200 OK\r\n\r\npart", func(c *net.TCPConn) { _, _ = io.CopyN(io.Discard, c, 1<<20) }},
		"reset, connection close": {"HTTP/1.1 200 OK\r\nConnection: close\r\n\r\npart", resetWhileWriting},
		"reset, HTTP/1.0":         {"HTTP/1.0 200 OK\r\n\r\npart", resetWhileWriting},
		"reset, status 404":       {"HTTP/1.1 404 Not Found\r\n\r\npart", resetWhileWriting},
		"reset, empty part":       {"HTTP/1.1 200 OK\r\n\r\n", resetWhileWriting},
		"reset, 200 KB":           {"HTTP/1.1 200 OK\r\n\r\n" + strings.Repeat("part", 50<<10), resetWhileWriting},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			address := s.listen(t)
			for client, do := range clients(t) {
				for _, delay := range []time.Duration{0, 100 * time.Millisecond} {
					complete := 0
					for range 6 {
						if do(address, largeBody, delay).isComplete() {
							complete++
						}
					}
					if complete > 0 {
						t.Errorf("%s, read after %v: %d of 6 responses look complete", client, delay, complete)
					}
				}
			}
		})
	}
}

// TestResponseDuringUploadIsWhole checks that responses which are complete before their
// request are not refused.
func TestResponseDuringUploadIsWhole(t *testing.T) {
	for name, s := range map[string]rawServer{
		"the request is read to its end": {"HTTP/1.1 200 OK\r\n\r\nwhole", comfreyfakeserver.ReadToEnd},
		"the request is read slowly": {"HTTP/1.1 200 OK\r\n\r\nwhole", func(c *net.TCPConn) {
			_ = c.CloseWrite()
			for {
				if _, err := io.CopyN(io.Discard, c, 4<<20); err != nil {
					return
				}
				time.Sleep(10 * time.Millisecond)
			}
		}},
		"the request is not read": {"HTTP/1.1 413 Too Large\r\n\r\nwhole", func(c *net.TCPConn) {
			_ = c.CloseWrite()
			time.Sleep(500 * time.Millisecond)
		}},
		"a length":   {"HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nwhole", resetWhileWriting},
		"chunks":     {"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n5\r\nwhole\r\n0\r\n\r\n", resetWhileWriting},
		"HTTP/1.0":   {"HTTP/1.0 200 OK\r\n\r\nwhole", comfreyfakeserver.ReadToEnd},
		"empty body": {"HTTP/1.1 204 No Content\r\n\r\n", comfreyfakeserver.ReadToEnd},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			address := s.listen(t)
			for client, do := range clients(t) {
				if a := do(address, largeBody, 0); !a.isComplete() || a.body != "whole" && a.status != http.StatusNoContent {
					t.Errorf("%s: got %+v", client, a)
				}
			}
		})
	}
}

// TestMalformedResponseIsRefused guards against responses that net/http accepts although
// they violate HTTP/1.1, and checks that none is taken for a broken connection.
func TestMalformedResponseIsRefused(t *testing.T) {
	const ok = "HTTP/1.1 200 OK\r\n"
	for name, response := range map[string]string{
		"status 000":                     "HTTP/1.1 000 OK\r\n\r\nbody",
		"status 001":                     "HTTP/1.1 001 OK\r\n\r\nbody",
		"status 099":                     "HTTP/1.1 099 OK\r\n\r\nbody",
		"status +20":                     "HTTP/1.1 +20 OK\r\n\r\nbody",
		"status 600":                     "HTTP/1.1 600 OK\r\n\r\nbody",
		"status 999":                     "HTTP/1.1 999 OK\r\n\r\nbody",
		"status 000 after 103":           "HTTP/1.1 103 Early Hints\r\n\r\nHTTP/1.1 000 OK\r\n\r\nbody",
		"status 101":                     "HTTP/1.1 101 Switching Protocols\r\nConnection: Upgrade\r\nUpgrade: x\r\n\r\nbody",
		"control byte in status":         "HTTP/1.1 200 O\x00K\r\n\r\nbody",
		"carriage return in status":      "HTTP/1.1 200 O\rK\r\n\r\nbody",
		"version 2":                      "HTTP/2.0 200 OK\r\n\r\nbody",
		"version 0.9":                    "HTTP/0.9 200 OK\r\n\r\nbody",
		"blank after name":               ok + "Content-Length : 2\r\n\r\nbody",
		"blank after Transfer-Encoding":  ok + "Transfer-Encoding : chunked\r\n\r\n4\r\nbody\r\n0\r\n\r\n",
		"blank in name":                  ok + "X Note: a\r\n\r\nbody",
		"blank in name, 1xx":             "HTTP/1.1 103 Early Hints\r\nX Note: a\r\n\r\n" + ok + "\r\nbody",
		"blank in name, trailer":         ok + "Transfer-Encoding: chunked\r\n\r\n4\r\nbody\r\n0\r\nX Note: a\r\n\r\n",
		"chunks in HTTP/1.0":             "HTTP/1.0 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n4\r\nbody\r\n0\r\n\r\n",
		"chunks in HTTP/1.0, length":     "HTTP/1.0 200 OK\r\nContent-Length: 4\r\nTransfer-Encoding: chunked\r\n\r\n4\r\nbody\r\n0\r\n\r\n",
		"chunks in HTTP/1.0 after a 103": "HTTP/1.1 103 Early Hints\r\n\r\nHTTP/1.0 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n4\r\nbody\r\n0\r\n\r\n",
		"chunks in HTTP/1.0, long head":  "HTTP/1.0 200 OK\r\nX-A: " + strings.Repeat("a", 9<<10) + "\r\nTransfer-Encoding: chunked\r\n\r\n4\r\nbody\r\n0\r\n\r\n",
		"control byte in name":           ok + "X\x01: a\r\n\r\nbody",
		"tab in name":                    ok + "X\t: a\r\n\r\nbody",
		"NUL in name":                    ok + "X\x00: a\r\n\r\nbody",
		"DEL in name":                    ok + "X\x7f: a\r\n\r\nbody",
		"separator in name":              ok + "X(1): a\r\n\r\nbody",
		"high byte in name":              ok + "X\xe9: a\r\n\r\nbody",
		"no name":                        ok + ": a\r\n\r\nbody",
		"no colon":                       ok + "X\r\n\r\nbody",
		"control byte in value":          ok + "X: a\x01\r\n\r\nbody",
		"control byte in trailer":        ok + "Transfer-Encoding: chunked\r\n\r\n4\r\nbody\r\n0\r\nX: a\x01\r\n\r\n",
		"bad chunk":                      ok + "Transfer-Encoding: chunked\r\n\r\nbody\r\n0\r\n\r\n",
		"two lengths":                    ok + "Content-Length: 2\r\nContent-Length: 3\r\n\r\nbody",
		"unknown encoding":               ok + "Transfer-Encoding: gzip, chunked\r\n\r\n4\r\nbody\r\n0\r\n\r\n",
		"no HTTP":                        "hello\r\n\r\n",
	} {
		address := rawServer{response, comfreyfakeserver.ReadToEnd}.listen(t)
		for client, do := range clients(t) {
			a := do(address, []byte("order"), 0)
			if a.isComplete() {
				t.Errorf("%s, %s: got %+v, want an error", name, client, a)
			}
			if !errors.Is(a.err, comfreyconnection.ErrMalformedResponse) {
				t.Errorf("%s, %s: got %v, want a malformed response", name, client, a.err)
			}
		}
	}
}

// TestUnusualResponseIsAccepted checks that responses which HTTP/1.1 allows are not refused.
func TestUnusualResponseIsAccepted(t *testing.T) {
	for name, response := range map[string]string{
		"all bytes of tokens":       "HTTP/1.1 200 OK\r\nX!#$%&'*+-.^_`|~09azAZ: a\r\nContent-Length: 5\r\n\r\nwhole",
		"bytes above 127 in values": "HTTP/1.1 200 OK\r\nX: \x80caf\xe9\xff\tb\r\nContent-Length: 5\r\n\r\nwhole",
		"a folded line":             "HTTP/1.1 200 OK\r\nX: a\r\n b\r\nContent-Length: 5\r\n\r\nwhole",
		"a length beside chunks":    "HTTP/1.1 200 OK\r\nContent-Length: 9\r\nTransfer-Encoding: chunked\r\n\r\n5\r\nwhole\r\n0\r\n\r\n",
		"a trailer":                 "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n5\r\nwhole\r\n0\r\nX-Sum: a\r\n\r\n",
		"informational responses":   "HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 103 Early Hints\r\nLink: a\r\n\r\nHTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nwhole",
		"informational in HTTP/1.0": "HTTP/1.0 103 Early Hints\r\n\r\nHTTP/1.0 200 OK\r\nContent-Length: 5\r\n\r\nwhole",
		"HTTP/1.0 with a length":    "HTTP/1.0 200 OK\r\nContent-Length: 5\r\n\r\nwhole",
		"HTTP/1.0 without a length": "HTTP/1.0 200 OK\r\n\r\nwhole",
		"HTTP/1.0, long head":       "HTTP/1.0 200 OK\r\nX-A: " + strings.Repeat("a", 9<<10) + "\r\n\r\nwhole",
		"no length":                 "HTTP/1.1 200 OK\r\n\r\nwhole",
		"no reason phrase":          "HTTP/1.1 200\r\nContent-Length: 5\r\n\r\nwhole",
		"a reason phrase in UTF-8":  "HTTP/1.1 200 d\u2019accord\r\nContent-Length: 5\r\n\r\nwhole",
		"status 599":                "HTTP/1.1 599 x\r\nContent-Length: 5\r\n\r\nwhole",
		"lines that end with LF":    "HTTP/1.1 200 OK\nContent-Length: 5\n\nwhole",
	} {
		address := rawServer{response, comfreyfakeserver.ReadToEnd}.listen(t)
		for client, do := range clients(t) {
			if a := do(address, []byte("order"), 0); !a.isComplete() || a.body != "whole" {
				t.Errorf("%s, %s: got %+v", name, client, a)
			}
		}
	}
}

// TestBrokenConnectionIsNoMalformedResponse checks that a response whose head has not
// arrived is not called malformed.
func TestBrokenConnectionIsNoMalformedResponse(t *testing.T) {
	for _, s := range []rawServer{
		{"", comfreyfakeserver.Reset}, {"HTTP/1.1 200 OK\r\nX-", comfreyfakeserver.ReadToEnd}, {"HTTP", comfreyfakeserver.ReadToEnd}, {"", comfreyfakeserver.ReadToEnd},
	} {
		address := s.listen(t)
		for client, do := range clients(t) {
			if a := do(address, []byte("order"), 0); a.isComplete() || errors.Is(a.err, comfreyconnection.ErrMalformedResponse) {
				t.Errorf("%q, %s: got %v, want the error of a broken connection", s.response, client, a.err)
			}
		}
	}
}
