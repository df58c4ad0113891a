package main

import (
	"bufio"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"net/url"
	"slices"
	"strings"
	"time"

	"comfreyridge.example/comfreyridge/comfreydecision"
)

// explainCommand tells what happened to a request. It reads log files, or asks
// a process and through it the whole fleet.
type explainCommand struct {
	Request string   `arg:"positional,required" help:"id of the request, as its caller knows it"`
	Logs    []string `arg:"--logs" placeholder:"FILE" help:"read these log files of gateways instead of asking a process"`
	Admin   string   `arg:"--admin,env:COMFREY_ADMIN" default:"http://127.0.0.1:9090" help:"base URL of any process's admin address"`
}

// explainTimeout bounds the whole question.
const explainTimeout = 30 * time.Second

func (c explainCommand) run(ctx context.Context, w io.Writer) error {
	if len(c.Logs) > 0 {
		return explainLogs(c.Request, c.Logs, w)
	}
	ctx, cancel := context.WithTimeout(ctx, explainTimeout)
	defer cancel()
	u := strings.TrimRight(c.Admin, "/") + "/debug/decisions?fleet=true&request=" + url.QueryEscape(c.Request)
	r, err := http.NewRequestWithContext(ctx, http.MethodGet, u, nil)
	if err != nil {
		return fmt.Errorf("comfreyridge explain: %w", err)
	}
	resp, err := http.DefaultClient.Do(r)
	if err != nil {
		return fmt.Errorf("comfreyridge explain: %w", err)
	}
	defer func() { _ = resp.Body.Close() }()
	decisions, err := readDecisions(resp.Body)
	if err != nil {
		return err
	}
	if len(decisions) == 0 {
		return fmt.Errorf("comfreyridge explain: no process knows request %s; each keeps its latest decisions only", c.Request)
	}
	for _, d := range decisions {
		fmt.Fprintln(w, line(d))
	}
	return nil
}

// readDecisions reads decisions and puts them in the order of their times.
func readDecisions(r io.Reader) ([]comfreydecision.Decision, error) {
	var s []comfreydecision.Decision
	b := bufio.NewScanner(r)
	b.Buffer(nil, 1<<20)
	for b.Scan() {
		var d comfreydecision.Decision
		if err := json.Unmarshal(b.Bytes(), &d); err != nil {
			return nil, fmt.Errorf("comfreyridge explain: %w", err)
		}
		s = append(s, d)
	}
	slices.SortStableFunc(s, func(a, b comfreydecision.Decision) int { return a.At.Compare(b.At) })
	return s, b.Err()
}

// line formats one decision as key=value pairs.
func line(d comfreydecision.Decision) string {
	var b strings.Builder
	fmt.Fprintf(&b, "at=%s process=%s kind=%s reason=%s", d.At.Format(time.RFC3339Nano), d.Process, d.Kind, d.Reason)
	keys := make([]string, 0, len(d.Figures))
	for k := range d.Figures {
		keys = append(keys, k)
	}
	slices.Sort(keys)
	for _, k := range keys {
		fmt.Fprintf(&b, " %s=%q", k, fmt.Sprint(d.Figures[k]))
	}
	return b.String()
}
