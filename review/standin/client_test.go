package main

import (
	"bufio"
	"bytes"
	"context"
	"fmt"
	"io"
	"net/http"
	"strconv"
	"strings"
	"time"
)

// IsReady asks the readiness address, as the platform does.
func (g *Gateway) IsReady() bool {
	ctx, cancel := context.WithTimeout(context.Background(), time.Second)
	defer cancel()
	r, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+g.Ready+"/comfreyridge/ready", nil)
	must(err)
	a, err := http.DefaultClient.Do(r)
	if err != nil {
		return false
	}
	_ = a.Body.Close()
	return a.StatusCode == 200
}

// Request is one attempt of a requester on a streaming route.
type Request struct {
	ID        string
	Path      string
	Prompt    int
	Events    int
	LastEvent int // where a resumed stream goes on; 0 for a new one
	Deadline  time.Duration
}

// Answer is what a requester has got.
type Answer struct {
	Status     int
	IsSealed   bool
	Events     []Event
	IsComplete bool
	Err        string
}

// Event is one event of a stream.
type Event struct {
	ID   int
	Data string
}

var requesters = &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 64, DisableCompression: true}}

// Send sends a request and reads its whole stream.
func (g *Gateway) Send(q Request) Answer {
	ctx, cancel := context.WithTimeout(context.Background(), q.Deadline)
	defer cancel()
	body := fmt.Sprintf(`{"events":%d}`, q.Events)
	r, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+g.Front+q.Path, bytes.NewReader([]byte(body)))
	must(err)
	r.Host = "desk.example"
	r.Header.Set("X-Request-Id", q.ID)
	r.Header.Set("X-Model", "m")
	r.Header.Set("X-Token-Counts", fmt.Sprintf("%d,%d", q.Prompt, q.Events*stride))
	r.Header.Set("X-Prompt-Prefix", fmt.Sprintf("5c1e07a2:40,%s:%d", q.ID, q.Prompt-40))
	r.Header.Set("X-Deadline-Ms", strconv.FormatInt(q.Deadline.Milliseconds(), 10))
	if q.LastEvent > 0 {
		r.Header.Set("Last-Event-Id", strconv.Itoa(q.LastEvent))
	}
	a, err := requesters.Do(r)
	if err != nil {
		return Answer{Err: err.Error()}
	}
	defer func() { _ = a.Body.Close() }()
	x := Answer{Status: a.StatusCode, IsSealed: a.Header.Get("X-Replica-Seal") != ""}
	if a.StatusCode != 200 {
		_, _ = io.Copy(io.Discard, a.Body)
		return x
	}
	b := bufio.NewReader(a.Body)
	var e Event
	for {
		line, err := b.ReadString('\n')
		if err == io.EOF {
			x.IsComplete = true
			return x
		}
		if err != nil {
			x.Err = err.Error()
			return x
		}
		line = strings.TrimRight(line, "\r\n")
		switch {
		case strings.HasPrefix(line, "id: "):
			e.ID, _ = strconv.Atoi(line[4:])
		case strings.HasPrefix(line, "data: "):
			e.Data = line[6:]
		case line == "":
			x.Events = append(x.Events, e)
			e = Event{}
		}
	}
}
