package main

import (
	"bufio"
	"cmp"
	"errors"
	"fmt"
	"io"
	"os"
	"slices"
	"strconv"
	"strings"
	"time"

	"comfreyridge.example/comfreyridge/comfreylog"
)

const (
	// maxLogLine bounds one line; longer ones are skipped.
	maxLogLine = 64 << 10
	// leadTime is how long before the first line of a request the changes of its
	// replicas are told: a departure lasts two or three seconds.
	leadTime = 3 * time.Second
)

// logLine is one line of a gateway's log.
type logLine struct {
	at     time.Time
	text   string
	fields map[string]string
}

// explainLogs tells what log files say of a request: its own lines, and what
// the processes that forwarded it learned of its replicas.
func explainLogs(request string, paths []string, w io.Writer) error {
	l, err := readLogs(paths)
	if err != nil {
		return err
	}
	own := slices.DeleteFunc(slices.Clone(l), func(x logLine) bool { return x.fields["request"] != request })
	if len(own) == 0 {
		return fmt.Errorf("comfreyridge explain: no line of %s names request %s", strings.Join(paths, ", "), request)
	}
	replicas, processes := map[string]bool{}, map[string]bool{}
	for _, x := range own {
		replicas[x.fields["replica"]], replicas[x.fields["to"]] = true, true
		processes[x.fields["process"]] = true
	}
	delete(replicas, "")
	from, to := own[0].at.Add(-leadTime), own[len(own)-1].at
	for _, x := range l {
		isChange := x.fields["event"] == "upstream" && replicas[x.fields["replica"]] && processes[x.fields["process"]]
		if x.fields["request"] == request || isChange && !x.at.Before(from) && !x.at.After(to) {
			fmt.Fprintln(w, x.text)
		}
	}
	return nil
}

// readLogs reads the lines of all files in the order of their times.
func readLogs(paths []string) ([]logLine, error) {
	var l []logLine
	for _, p := range paths {
		f, err := os.Open(p)
		if err != nil {
			return nil, fmt.Errorf("comfreyridge explain: %w", err)
		}
		l, err = appendLog(l, f)
		if err = errors.Join(err, f.Close()); err != nil {
			return nil, fmt.Errorf("comfreyridge explain: reading %s: %w", p, err)
		}
	}
	slices.SortStableFunc(l, func(a, b logLine) int { return cmp.Compare(a.at.UnixNano(), b.at.UnixNano()) })
	return l, nil
}

// appendLog appends the lines that have a time. What a collector has put
// before the time is dropped.
func appendLog(l []logLine, r io.Reader) ([]logLine, error) {
	b := bufio.NewReaderSize(r, maxLogLine)
	for {
		text, isLong, err := b.ReadLine()
		if errors.Is(err, io.EOF) {
			return l, nil
		}
		if err != nil {
			return l, err
		}
		_, rest, ok := strings.Cut(string(text), "time=")
		if isLong || !ok {
			continue
		}
		fields := parseFields("time=" + rest)
		if at, err := time.Parse(comfreylog.TimeLayout, fields["time"]); err == nil {
			l = append(l, logLine{at: at, text: "time=" + rest, fields: fields})
		}
	}
}

// parseFields splits a line of key=value pairs; values may be quoted.
func parseFields(s string) map[string]string {
	m := map[string]string{}
	for s != "" {
		key, rest, ok := strings.Cut(strings.TrimLeft(s, " "), "=")
		if !ok {
			break
		}
		q, err := strconv.QuotedPrefix(rest)
		if err == nil {
			m[key], _ = strconv.Unquote(q)
			s = rest[len(q):]
			continue
		}
		m[key], s, _ = strings.Cut(rest, " ")
	}
	return m
}
