// Package comfreyfakeserver holds what the HTTP servers of the stand-ins share.
package comfreyfakeserver

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"time"

	"comfreyridge.example/comfreyridge/comfreygroup"
)

// readHeaderTimeout bounds how long a caller takes to send its headers.
const readHeaderTimeout = 10 * time.Second

// Server is a stand-in that is to be served.
type Server struct {
	// Handler answers the requests.
	Handler http.Handler
	// Close is called after the last connection is closed; nil calls nothing.
	Close func() error
}

// Serve listens on an address, writes the line "listening=ADDR" to w, and
// serves what build returns for that address until ctx ends.
func Serve(ctx context.Context, listen string, w io.Writer, build func(address string) Server) error {
	l, err := net.Listen("tcp", listen)
	if err != nil {
		return fmt.Errorf("comfreyfakeserver: %w", err)
	}
	v := build(l.Addr().String())
	s := &http.Server{Handler: v.Handler, ReadHeaderTimeout: readHeaderTimeout}
	fmt.Fprintf(w, "listening=%s\n", l.Addr())
	g := comfreygroup.New(ctx)
	g.Go("serve", func(context.Context) error {
		err := s.Serve(l)
		if errors.Is(err, http.ErrServerClosed) {
			return nil
		}
		return err
	})
	g.Go("close", func(ctx context.Context) error {
		<-ctx.Done()
		err := s.Close()
		if v.Close != nil {
			err = errors.Join(err, v.Close())
		}
		return err
	})
	return g.Wait()
}

// DropWhile returns a middleware that cuts the connection of each request
// that comes while down reports true.
func DropWhile(down func() bool) func(next http.Handler) http.Handler {
	return func(next http.Handler) http.Handler {
		return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
			if down() {
				panic(http.ErrAbortHandler)
			}
			next.ServeHTTP(w, r)
		})
	}
}

// WriteJSON answers with the JSON of v.
func WriteJSON(w http.ResponseWriter, status int, v any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(v)
}
