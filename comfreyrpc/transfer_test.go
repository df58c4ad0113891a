package comfreyrpc_test

import (
	"context"
	"net"
	"net/http"
	"testing"
	"time"

	"comfreyridge.example/comfreyridge/comfreyconnection"
	"comfreyridge.example/comfreyridge/comfreyproto"
	"comfreyridge.example/comfreyridge/comfreyrelay"
	"comfreyridge.example/comfreyridge/comfreyrpc"
)

// filePeer serves one file.
type filePeer struct {
	comfreyproto.Peer
	file []byte
}

// Fetch implements comfreyproto.Peer.
func (p *filePeer) Fetch(context.Context, *comfreyproto.FetchRequest) (*comfreyproto.FetchReply, error) {
	return &comfreyproto.FetchReply{Blobs: [][]byte{p.file}}, nil
}

// TestLargeFileIsFetchedFromPeerOnSlowLink guards against fetches that time out
// although the file arrives steadily.
func TestLargeFileIsFetchedFromPeerOnSlowLink(t *testing.T) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	address := l.Addr().String()
	link := comfreyrelay.NewLink(4_000_000 / 8) // 4 Mbit/s, in bytes a second
	s := &http.Server{Handler: comfreyproto.NewPeerServer(&filePeer{file: make([]byte, 1<<20)}), ReadHeaderTimeout: time.Second}
	done := make(chan error, 1)
	go func() { done <- s.Serve(link.Listener(l)) }()
	defer func() {
		_ = s.Close()
		<-done
	}()
	c := comfreyrpc.NewClient(comfreyrpc.Key{}, nil)
	defer c.Close()
	timeouts := comfreyconnection.Timeouts{Header: time.Second, Silence: time.Second}
	r, err := c.PeerTransfers(address, timeouts).Fetch(t.Context(), &comfreyproto.FetchRequest{})
	if err != nil || len(r.Blobs) != 1 || len(r.Blobs[0]) != 1<<20 {
		t.Errorf("expected a file of 1 MiB, got %d files, %v", len(r.GetBlobs()), err)
	}
}
