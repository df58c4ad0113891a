package comfreyconfig_test

import (
	"fmt"
	"runtime"
	"strings"
	"testing"

	"comfreyridge.example/comfreyridge/comfreyconfig"
)

// customersFolder returns a folder with that many customers in files of 69
// customers each: with the 8,500 customers of the target size it has 124 files.
func customersFolder(customers int, tag string) comfreyconfig.Folder {
	const perFile = 69
	f := content(tag)
	for i := 0; i < customers; i += perFile {
		var b strings.Builder
		b.WriteString("customers:\n")
		for k := i; k < min(i+perFile, customers); k++ {
			n := fmt.Sprintf("customer-%05d", k)
			fmt.Fprintf(&b, "  %s:\n    key-hashes: [%s]\n    concurrent-streams: 12\n    token-weight: 1\n", n, comfreyconfig.HashKey(n))
		}
		f = append(f, comfreyconfig.File{Name: fmt.Sprintf("40-customers-%05d.yaml", i), Content: []byte(b.String())})
	}
	return comfreyconfig.NewFolder(f...)
}

// BenchmarkChange measures the check, merge and activation of a revision that
// changes one small file, by number of customers.
func BenchmarkChange(b *testing.B) {
	for _, customers := range []int{10, 1000, 8500} {
		b.Run(fmt.Sprint(customers), func(b *testing.B) {
			s := comfreyconfig.NewStore()
			number := uint64(0)
			change := func() {
				number++
				f := customersFolder(customers, fmt.Sprint("m", number))
				r := comfreyconfig.NewRevision(number, f)
				x := comfreyconfig.Blobs(f)
				b.StartTimer()
				c, faults, o := s.Check(r, x)
				if o != comfreyconfig.OutcomeAccepted {
					b.Fatal(o, faults)
				}
				s.Activate(c)
				b.StopTimer()
			}
			b.StopTimer()
			change()
			b.ResetTimer()
			for range b.N {
				change()
			}
		})
	}
}

// BenchmarkStart measures the first check of a complete folder and the memory
// that remains in use afterwards.
func BenchmarkStart(b *testing.B) {
	for _, customers := range []int{10, 1000, 8500} {
		b.Run(fmt.Sprint(customers), func(b *testing.B) {
			f := customersFolder(customers, "m")
			r := comfreyconfig.NewRevision(1, f)
			size := 0
			for _, i := range f {
				size += len(i.Content)
			}
			var stores []*comfreyconfig.Store
			before := heapBytes()
			for b.Loop() {
				s := comfreyconfig.NewStore()
				c, _, _ := s.Check(r, comfreyconfig.Blobs(f))
				s.Activate(c)
				stores = append(stores, s)
			}
			b.ReportMetric(float64(heapBytes()-before)/float64(len(stores)), "held-B")
			b.ReportMetric(float64(size), "folder-B")
			b.ReportMetric(float64(len(r.Manifest())), "manifest-B")
			runtime.KeepAlive(stores)
		})
	}
}

func heapBytes() uint64 {
	runtime.GC()
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return m.HeapAlloc
}

func BenchmarkCustomerByKey(b *testing.B) {
	s, _ := comfreyconfig.Check(customersFolder(8500, "m"))
	for b.Loop() {
		s.CustomerByKey("customer-04242")
	}
}

func BenchmarkRoute(b *testing.B) {
	s := comfreyconfig.NewSettings().WithService(comfreyconfig.NewService("template", comfreyconfig.ServiceKindGeneration))
	for i := range 200 {
		r := comfreyconfig.NewRule(fmt.Sprint("r", i))
		r.Customer = fmt.Sprint("c", i)
		s = s.WithRule(r)
	}
	for b.Loop() {
		s.Route("c77", "template", "/v1/completions")
	}
}

// BenchmarkObserveDigest measures the processing of a digest of a peer that has
// no newer revision.
func BenchmarkObserveDigest(b *testing.B) {
	n := comfreyconfig.NewNode(comfreyconfig.NodeConfig{Seed: 1})
	n.Tick(testStart)
	n.HandleHostsResult(testStart, comfreyconfig.HostsResult{Failed: true})
	completeManifestRead(n, testStart, testStart, 1, content("a"))
	d := n.Digest()
	b.ReportAllocs()
	for b.Loop() {
		n.ObserveDigest(testStart, testPeer, d)
	}
}
