package comfreyconfig_test

import (
	"slices"
	"testing"
	"time"

	"comfreyridge.example/comfreyridge/comfreyconfig"
)

var (
	testStart = time.Date(2026, 12, 3, 8, 0, 0, 0, time.UTC)
	testPeer  = comfreyconfig.Peer{Address: "10.0.0.2:80", DataCentre: "dc-0"}
)

// blobs returns the contents of the files of f, as a peer or the platform
// returns them.
func blobs(f comfreyconfig.Folder) [][]byte {
	var b [][]byte
	for _, i := range f {
		b = append(b, i.Content)
	}
	return b
}

// newActiveNode returns a node that activated revision 1 from the platform at
// testStart.
func newActiveNode(t *testing.T) *comfreyconfig.Node {
	t.Helper()
	n := comfreyconfig.NewNode(comfreyconfig.NodeConfig{Seed: 1})
	n.Tick(testStart)
	n.HandleHostsResult(testStart, comfreyconfig.HostsResult{Failed: true})
	completeManifestRead(n, testStart, testStart, 1, content("a"))
	if r := n.Store().Revision(); r.Number != 1 {
		t.Fatalf("revision %d is active, want 1", r.Number)
	}
	return n
}

// completeManifestRead passes the results of a manifest read and of the fetch
// that follows to n.
func completeManifestRead(n *comfreyconfig.Node, now, asked time.Time, number uint64, f comfreyconfig.Folder) []comfreyconfig.Action {
	a := n.HandleManifestResult(now, comfreyconfig.ManifestResult{
		SentAt: asked, Kind: comfreyconfig.ActionReadManifest, Number: number, Manifest: comfreyconfig.NewRevision(number, f).Manifest(),
	})
	return append(a, n.HandleFetchResult(now, comfreyconfig.FetchResult{Blobs: blobs(f)})...)
}

// TestResumedProcessConfirmsPendingRevision suspends a process while it confirms
// a pending revision. After the suspension the process must not activate the
// revision before another settle period and another read of the platform.
func TestResumedProcessConfirmsPendingRevision(t *testing.T) {
	asked := testStart.Add(3 * time.Second)
	woken := testStart.Add(time.Minute)
	for name, wake := range map[string]func(n *comfreyconfig.Node){
		"timer first": func(n *comfreyconfig.Node) { n.Tick(woken) },
		"result first": func(n *comfreyconfig.Node) {
			n.HandleManifestResult(woken, comfreyconfig.ManifestResult{SentAt: asked, Kind: comfreyconfig.ActionReadManifest, Failed: true})
		},
	} {
		n := newActiveNode(t)
		completeManifestRead(n, testStart, testStart, 2, content("b"))
		n.Tick(asked)
		wake(n)
		n.Tick(woken.Add(time.Second))
		if r := n.Store().Revision(); r.Number != 1 {
			t.Errorf("%s: after a suspension the process activated revision %d, which was read before it", name, r.Number)
		}
		for d := range 10 {
			n.Tick(woken.Add(time.Duration(d) * time.Second))
		}
		if r := n.Store().Revision(); r.Number != 2 {
			t.Errorf("%s: revision %d is active after the confirming read timed out, want 2", name, r.Number)
		}
	}
}

func TestMismatchedContentFromPeerIsNotActivated(t *testing.T) {
	n := newActiveNode(t)
	r := comfreyconfig.NewRevision(2, content("b"))
	wrong := comfreyconfig.NewRevision(3, content("c"))
	n.ObserveDigest(testStart, testPeer, comfreyconfig.Digest{Number: 2, Hash: r.Hash})
	n.HandleFetchResult(testStart, comfreyconfig.FetchResult{Peer: testPeer, Blobs: [][]byte{wrong.Manifest()}})
	n.HandleFetchResult(testStart, comfreyconfig.FetchResult{Peer: testPeer, Blobs: append(blobs(content("c")), []byte("garbage"))})
	if x := n.Store().Revision(); x.Number != 1 || n.Stats().Corrupt == 0 {
		t.Errorf("revision %d is active, want 1; %d corrupt blobs, want more than 0", x.Number, n.Stats().Corrupt)
	}
	later := testStart.Add(5 * time.Second)
	n.Tick(later)
	n.ObserveDigest(later, testPeer, comfreyconfig.Digest{Number: 2, Hash: r.Hash})
	n.HandleFetchResult(later, comfreyconfig.FetchResult{Peer: testPeer, Blobs: [][]byte{r.Manifest()}})
	n.HandleFetchResult(later, comfreyconfig.FetchResult{Peer: testPeer, Blobs: blobs(content("b"))})
	if x := n.Store().Revision(); x.Number != 2 {
		t.Errorf("revision %d is active, want 2", x.Number)
	}
}

func TestPlatformNumberMustMatchManifest(t *testing.T) {
	n := newActiveNode(t)
	n.HandleManifestResult(testStart, comfreyconfig.ManifestResult{
		SentAt: testStart, Kind: comfreyconfig.ActionReadManifest, Number: 9, Manifest: comfreyconfig.NewRevision(2, content("b")).Manifest(),
	})
	if n.Stats().Corrupt != 1 {
		t.Errorf("got %d corrupt manifests, want 1", n.Stats().Corrupt)
	}
}

func TestRequestedBlobsAreBounded(t *testing.T) {
	n := newActiveNode(t)
	h := n.Store().Revision().Hash
	many := slices.Repeat([]comfreyconfig.Hash{h}, 100_000)
	size := 0
	for _, b := range n.RequestedBlobs(many) {
		size += len(b)
	}
	if size == 0 || size > comfreyconfig.MaxFetchSizeBytes {
		t.Errorf("got %d bytes of blobs, want more than 0 and at most MaxFetchSizeBytes", size)
	}
	if b := n.RequestedBlobs([]comfreyconfig.Hash{{1}}); len(b) != 0 {
		t.Errorf("got %d blobs for an unknown hash", len(b))
	}
}

func TestParseManifestRefusesMalformedText(t *testing.T) {
	for _, s := range []string{
		"", "[]", `{"files":[]}`, `{"number":1,"files":[{"name":"b.yaml","hash":"00"}]}`, `{"number":-1}`,
		`{"number":1,"files":[{"name":"b.yaml"},{"name":"a.yaml"}]}`, `{"number":1,"files":[{"name":"a.yaml"},{"name":"a.yaml"}]}`,
	} {
		if r, err := comfreyconfig.ParseManifest([]byte(s)); err == nil {
			t.Errorf("%q was parsed as revision %+v, want an error", s, r)
		}
	}
}

func TestHostListIsNotReplacedByOlderOne(t *testing.T) {
	n := newActiveNode(t)
	list := []byte(`[{"host":"a","address":"10.0.0.9:80","data-centre":"dc-0"}]`)
	d := comfreyconfig.Digest{HostsNumber: 5, HostsHash: comfreyconfig.HashOf(list)}
	a := n.ObserveDigest(testStart, testPeer, d)
	if len(a) != 1 || a[0].Kind != comfreyconfig.ActionFetch {
		t.Fatalf("the digest of a newer host list returned actions %+v, want a fetch", a)
	}
	a = n.HandleFetchResult(testStart, comfreyconfig.FetchResult{Peer: testPeer, Blobs: [][]byte{[]byte("[]"), list}})
	if len(a) != 1 || a[0].Kind != comfreyconfig.ActionHostListChanged || len(a[0].Hosts.Hosts) != 1 {
		t.Fatalf("the fetched host list returned actions %+v, want ActionHostListChanged", a)
	}
	n.HandleHostsResult(testStart, comfreyconfig.HostsResult{Number: 4, Text: []byte("[]")})
	if h := n.Hosts(); h.Number != 5 || len(h.Hosts) != 1 {
		t.Errorf("an older host list replaced the newer one: %+v", h)
	}
	if b := n.RequestedBlobs([]comfreyconfig.Hash{d.HostsHash}); len(b) != 1 {
		t.Errorf("the host list is not returned to other peers")
	}
}

// TestHostListIsReadDuringWatch lets a process watch for a minute without any
// change of the configuration. A host that leaves may get work for 5 s, so the
// process must not wait for the end of a watch before it reads the list.
func TestHostListIsReadDuringWatch(t *testing.T) {
	n := newActiveNode(t)
	start := testStart.Add(time.Second)
	watchEnds := time.Time{}
	last, reads := start, 0
	for now := start; now.Before(start.Add(time.Minute)); now = now.Add(50 * time.Millisecond) {
		if !watchEnds.IsZero() && !now.Before(watchEnds) {
			watchEnds = time.Time{}
			n.HandleManifestResult(now, comfreyconfig.ManifestResult{SentAt: now, Kind: comfreyconfig.ActionWatchManifest, Unchanged: true})
		}
		for _, a := range n.Tick(now) {
			switch a.Kind {
			case comfreyconfig.ActionWatchManifest:
				watchEnds = now.Add(a.Wait)
			case comfreyconfig.ActionReadHosts:
				reads++
				if g := now.Sub(last); g > 3500*time.Millisecond {
					t.Errorf("%v: no read of the host list for %v", now.Sub(start), g)
				}
				last = now
			default:
			}
		}
	}
	if reads < 20 || reads > 40 {
		t.Errorf("%d reads of the host list in a minute, want one each 2 s", reads)
	}
}

// TestSlowFetchIsNotBegunAgain checks that a fetch of files that lasts for many
// seconds is not begun again meanwhile, since both would share the link.
func TestSlowFetchIsNotBegunAgain(t *testing.T) {
	n := newActiveNode(t)
	r := comfreyconfig.NewRevision(n.Store().Revision().Number+1, content("b"))
	d := comfreyconfig.Digest{Number: r.Number, Hash: r.Hash}
	isFetch := func(a comfreyconfig.Action) bool { return a.Kind == comfreyconfig.ActionFetch }
	if a := n.ObserveDigest(testStart, testPeer, d); !slices.ContainsFunc(a, isFetch) {
		t.Fatalf("the digest of a newer revision returned actions %+v, want a fetch", a)
	}
	for now := testStart; now.Before(testStart.Add(20 * time.Second)); now = now.Add(500 * time.Millisecond) {
		if a := append(n.Tick(now), n.ObserveDigest(now, testPeer, d)...); slices.ContainsFunc(a, isFetch) {
			t.Fatalf("%v after a fetch began: got another one", now.Sub(testStart))
		}
	}
	if a := n.HandleFetchResult(testStart.Add(20*time.Second), comfreyconfig.FetchResult{Peer: testPeer, Blobs: [][]byte{r.Manifest()}}); !slices.ContainsFunc(a, isFetch) {
		t.Errorf("the manifest arrived: got actions %+v, want a fetch of the files", a)
	}
}
