package comfreyplatform_test

import (
	"bytes"
	"net/http"
	"net/http/httptest"
	"testing"

	"comfreyridge.example/comfreyridge/comfreyconfig"
	"comfreyridge.example/comfreyridge/comfreyplatform"
	"comfreyridge.example/comfreyridge/comfreyrelay"
)

// TestLargeFileIsReadOnSlowLink guards against reads of a file that time out
// although it arrives steadily, and begin it again from the first byte.
func TestLargeFileIsReadOnSlowLink(t *testing.T) {
	const slowLink = 4_000_000 / 8 // 4 Mbit/s, in bytes a second
	file := bytes.Repeat([]byte{'a'}, comfreyplatform.MaxValueSizeBytes)
	s := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) { _, _ = w.Write(file) }))
	defer s.Close()
	link := comfreyrelay.NewLink(slowLink)
	transport := &http.Transport{DialContext: link.Dial}
	defer transport.CloseIdleConnections()
	c := comfreyplatform.New(comfreyplatform.Config{URL: s.URL, HTTP: &http.Client{Transport: transport}})
	r := c.Blobs(t.Context(), []comfreyconfig.Hash{comfreyconfig.HashOf(file)})
	if r.Failed || len(r.Blobs) != 1 || !bytes.Equal(r.Blobs[0], file) {
		t.Errorf("expected a file of %d bytes, got %d files, failed %t", len(file), len(r.Blobs), r.Failed)
	}
}
