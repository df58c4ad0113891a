package comfreyfakeplatform_test

import (
	"context"
	"net/http/httptest"
	"os"
	"path/filepath"
	"testing"
	"time"

	"comfreyridge.example/comfreyridge/comfreyconfig"
	"comfreyridge.example/comfreyridge/comfreyfakeplatform"
	"comfreyridge.example/comfreyridge/comfreygroup"
	"comfreyridge.example/comfreyridge/comfreyplatform"
)

func write(t *testing.T, path, text string) {
	t.Helper()
	if err := os.WriteFile(path, []byte(text), 0o600); err != nil {
		t.Fatal(err)
	}
}

func TestRunPublishesAFolderAndItsChanges(t *testing.T) {
	d := t.TempDir()
	file := filepath.Join(d, "10-services.yaml")
	write(t, file, "services:\n  reports:\n")
	write(t, filepath.Join(d, "hosts.json"), `[{"host":"a","address":"10.0.0.1:80"}]`)
	ready := make(chan string, 1)
	g := comfreygroup.New(t.Context())
	g.Go("platform", func(ctx context.Context) error {
		return comfreyfakeplatform.Run(ctx, comfreyfakeplatform.RunConfig{
			Listen: "127.0.0.1:0", Folder: d, HostsFile: filepath.Join(d, "hosts.json"),
			Poll: 5 * time.Millisecond, Ready: func(a string) { ready <- a },
		})
	})
	c := comfreyplatform.New(comfreyplatform.Config{URL: "http://" + <-ready})
	r := c.ReadManifest(t.Context())
	if r.Failed || r.Number != 1 {
		t.Fatalf("read %+v", r)
	}
	if h := c.Hosts(t.Context(), 0); h.Failed || h.Unchanged || h.Number == 0 {
		t.Errorf("hosts %+v", h)
	}
	write(t, file, "services:\n  bookings:\n")
	if r = c.WatchManifest(t.Context(), 1, 30*time.Second); r.Failed || r.Unchanged || r.Number != 2 {
		t.Errorf("watch %+v", r)
	}
	m, err := comfreyconfig.ParseManifest(r.Manifest)
	if err != nil || c.Blobs(t.Context(), []comfreyconfig.Hash{m.Files[0].Hash}).Failed {
		t.Errorf("manifest %+v, %v", m, err)
	}
	g.Stop()
	if err := g.Wait(); err != nil {
		t.Error(err)
	}
}

func TestRunRefusesAFolderThatCannotBeRead(t *testing.T) {
	err := comfreyfakeplatform.Run(t.Context(), comfreyfakeplatform.RunConfig{Listen: "127.0.0.1:0", Folder: t.TempDir()})
	if err == nil {
		t.Error("an empty folder was served")
	}
}

func TestHostListLags(t *testing.T) {
	p := comfreyfakeplatform.New()
	s := httptest.NewServer(p)
	defer s.Close()
	c := comfreyplatform.New(comfreyplatform.Config{URL: s.URL})
	p.SetLag(time.Hour)
	if err := p.SetHosts([]comfreyconfig.Host{{Host: "late"}}); err != nil {
		t.Fatal(err)
	}
	if h := c.Hosts(t.Context(), 0); string(h.Text) != "[]" {
		t.Errorf("the list is shown at once: %s", h.Text)
	}
	p.SetLag(0)
	if err := p.SetHosts([]comfreyconfig.Host{{Host: "now"}}); err != nil {
		t.Fatal(err)
	}
	if h := c.Hosts(t.Context(), 1); h.Unchanged || h.Number != 2 {
		t.Errorf("hosts %+v", h)
	}
}
