package comfreycaller_test

import (
	"bytes"
	"net"
	"net/http"
	"testing"
	"time"

	"comfreyridge.example/comfreyridge/comfreycaller"
	"comfreyridge.example/comfreyridge/comfreyfakeserver"
	"comfreyridge.example/comfreyridge/comfreyverdict"
)

// TestBrokenAnswerToOrderMayHaveRun guards against an answer to an order that is taken
// although it is not whole, or violates HTTP/1.1.
func TestBrokenAnswerToOrderMayHaveRun(t *testing.T) {
	const ran = "Comfrey-Verdict: ran\r\nComfrey-Order-State: completed\r\n"
	reset := func(c *net.TCPConn) {
		time.Sleep(10 * time.Millisecond)
		comfreyfakeserver.Reset(c)
	}
	for name, s := range map[string]struct {
		response string
		end      func(c *net.TCPConn)
	}{
		"cut during the upload": {"HTTP/1.1 200 OK\r\n" + ran + "\r\npart", reset},
		"blank in a name":       {"HTTP/1.1 200 OK\r\n" + ran + "Content-Length : 4\r\n\r\nbody and more", comfreyfakeserver.ReadToEnd},
		"status 000":            {"HTTP/1.1 000 OK\r\n" + ran + "Content-Length: 4\r\n\r\nbody", comfreyfakeserver.ReadToEnd},
	} {
		address, err := comfreyfakeserver.Raw{Respond: func(*http.Request) string { return s.response }, End: s.end}.Listen(t.Context())
		if err != nil {
			t.Fatal(err)
		}
		for range 5 {
			o := comfreycaller.Caller{}.Order(t.Context(), http.MethodPut, "http://"+address, "parts", "ticket", bytes.Repeat([]byte("x"), 16<<20))
			if o.Error.Verdict != comfreyverdict.VerdictMayHaveRun {
				t.Errorf("%s: got %+v, want an order that may have run", name, o)
			}
		}
	}
}
