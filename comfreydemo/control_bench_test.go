package comfreydemo

import (
	"net"
	"net/http"
	"sync/atomic"
	"testing"

	"comfreyridge.example/comfreyridge/comfreyconfig"
	"comfreyridge.example/comfreyridge/comfreyproto"
	"comfreyridge.example/comfreyridge/comfreyrpc"
	"comfreyridge.example/comfreyridge/comfreysidecar"
)

// countedListener counts the bytes of its connections, in both directions.
type countedListener struct {
	net.Listener
	in, out atomic.Int64
}

func (l *countedListener) Accept() (net.Conn, error) {
	c, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	return &countedConn{Conn: c, l: l}, nil
}

type countedConn struct {
	net.Conn
	l *countedListener
}

func (c *countedConn) Read(b []byte) (int, error) {
	n, err := c.Conn.Read(b)
	c.l.in.Add(int64(n))
	return n, err
}

func (c *countedConn) Write(b []byte) (int, error) {
	n, err := c.Conn.Write(b)
	c.l.out.Add(int64(n))
	return n, err
}

// BenchmarkControl measures one message of each kind between processes: CPU of
// both ends together, and bytes of HTTP on the connection.
func BenchmarkControl(b *testing.B) {
	inner, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		b.Fatal(err)
	}
	l := &countedListener{Listener: inner}
	s := EmbeddedSettings()
	x := comfreysidecar.New(b.Context(), comfreysidecar.Config{
		Host:     "upstream-1",
		Service:  GenerationService,
		Key:      comfreyrpc.Key(fleetKey),
		Listener: l,
		Upstream: "http://127.0.0.1:1",
		Settings: func() comfreyconfig.Settings { return s },
	})
	h := &http.Server{Handler: x.Handler()}
	defer func() { _ = h.Close() }()
	done := make(chan struct{})
	go func() {
		defer close(done)
		_ = h.Serve(l)
	}()
	c := comfreyrpc.NewClient(comfreyrpc.Key(fleetKey), nil)
	defer c.Close()
	remote := c.Sidecar(inner.Addr().String())
	digest := &comfreyproto.Digest{Number: 1 << 20, Hash: make([]byte, 32), HostsNumber: 1 << 20, HostsHash: make([]byte, 32), Address: "10.20.30.40:9090", DataCentre: "leuven"}
	listed := &comfreyproto.ListedState{Version: 1 << 20, AtUnixMillis: 1 << 40}
	measure := func(name string, f func() error) {
		b.Run(name, func(b *testing.B) {
			in, out, cpu := l.in.Load(), l.out.Load(), processTime(b)
			for b.Loop() {
				if err := f(); err != nil {
					b.Fatal(err)
				}
			}
			b.ReportMetric(float64(l.in.Load()-in)/float64(b.N), "request-B")
			b.ReportMetric(float64(l.out.Load()-out)/float64(b.N), "reply-B")
			b.ReportMetric(float64((processTime(b)-cpu).Nanoseconds())/float64(b.N), "cpu-ns")
		})
	}
	measure("report", func() error {
		_, err := remote.Report(b.Context(), &comfreyproto.ReportRequest{Gateway: "entry-1", Digest: digest, Listed: listed})
		return err
	})
	measure("report-with-renewal", func() error {
		_, err := remote.Report(b.Context(), &comfreyproto.ReportRequest{Gateway: "entry-1", Digest: digest, Listed: listed, Renewals: []*comfreyproto.Renewal{{Counter: 1 << 20, Seq: 1000}}})
		return err
	})
	measure("witness", func() error {
		_, err := remote.Witness(b.Context(), &comfreyproto.WitnessRequest{Fingerprint: make([]byte, 16), Host: "upstream-2"})
		return err
	})
}
