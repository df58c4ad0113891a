package main

import (
	"encoding/json"
	"fmt"
	"net/http"
	"strings"
	"testing"

	"comfreyridge.example/comfreyridge/comfreycaller"
	"comfreyridge.example/comfreyridge/comfreyfakeapplication"
	"comfreyridge.example/comfreyridge/comfreyfakeengine"
	"comfreyridge.example/comfreyridge/comfreyorder"
	"comfreyridge.example/comfreyridge/comfreystream"
)

// post posts to a switch of a stand-in.
func post(t testing.TB, url string) {
	t.Helper()
	resp, err := http.Post(url, "", nil)
	if err != nil {
		t.Fatal(err)
	}
	_ = resp.Body.Close()
}

// setPlatform sets the switches of the platform.
func (f *processFleet) setPlatform(switches string) {
	f.t.Helper()
	r, err := http.NewRequest(http.MethodPut, f.platform.url+"/fake/switches", strings.NewReader(switches))
	if err != nil {
		f.t.Fatal(err)
	}
	resp, err := http.DefaultClient.Do(r)
	if err != nil {
		f.t.Fatal(err)
	}
	_ = resp.Body.Close()
}

func getJSON(t testing.TB, url string, v any) {
	t.Helper()
	resp, err := http.Get(url)
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = resp.Body.Close() }()
	if err := json.NewDecoder(resp.Body).Decode(v); err != nil {
		t.Fatal(err)
	}
}

// engineRuns returns the ground truth of an engine by attempt.
func engineRuns(t testing.TB, n *node) map[string]comfreyfakeengine.RunRecord {
	t.Helper()
	var m map[string]comfreyfakeengine.RunRecord
	getJSON(t, n.url+"/fake/runs", &m)
	return m
}

// beganByRequest counts the runs that began, by request, over all engines.
func (f *processFleet) beganByRequest() map[string]int {
	f.t.Helper()
	m := map[string]int{}
	for _, n := range f.engines {
		for id, r := range engineRuns(f.t, n) {
			request, _, _ := strings.Cut(id, "#")
			m[request] += r.Began
		}
	}
	return m
}

// orderRuns counts the runs of an order over all applications.
func (f *processFleet) orderRuns(ticket string) int {
	f.t.Helper()
	k, err := comfreyorder.ParseTicket(ticket, []byte(processKey))
	if err != nil {
		f.t.Fatal(err)
	}
	id := fmt.Sprintf("%s-%d-%x", k.OwnerHost, k.OwnerIncarnation, k.Nonce)
	count := 0
	for _, n := range f.applications {
		var m map[string]comfreyfakeapplication.RunRecord
		getJSON(f.t, n.url+"/fake/runs", &m)
		count += m[id].Began
	}
	return count
}

// ownerOf returns the sidecar that a ticket names.
func (f *processFleet) ownerOf(ticket string) *node {
	f.t.Helper()
	k, err := comfreyorder.ParseTicket(ticket, []byte(processKey))
	if err != nil {
		f.t.Fatal(err)
	}
	return f.sidecar(k.OwnerHost)
}

func (f *processFleet) sidecar(host string) *node {
	f.t.Helper()
	for _, n := range f.sidecars {
		if n.name == host {
			return n
		}
	}
	f.t.Fatalf("no sidecar %q", host)
	return nil
}

// serving returns the sidecar whose generation an event belongs to.
func (f *processFleet) serving(eventID string) *node {
	f.t.Helper()
	e, err := comfreystream.ParseEventID(eventID)
	if err != nil {
		f.t.Fatal(err)
	}
	return f.sidecar(e.Generation.Host)
}

// atEvent returns an event function that calls f at the n-th event.
func atEvent(n int, f func(e comfreycaller.Event)) func(comfreycaller.Event) {
	seen := 0
	return func(e comfreycaller.Event) {
		seen++
		if seen == n {
			f(e)
		}
	}
}
