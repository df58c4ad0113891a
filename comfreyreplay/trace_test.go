package comfreyreplay

import (
	"bytes"
	"errors"
	"reflect"
	"strings"
	"testing"
	"time"
)

func TestTraceReadsBackWhatWasWritten(t *testing.T) {
	for _, s := range Shapes() {
		want := Generate(s, GenerateOptions{Seed: 1, Load: 0.5, Duration: 5 * time.Second, Burst: 2, Crowd: 2, Lost: true})
		var b bytes.Buffer
		if err := WriteTrace(&b, want, "a comment"); err != nil {
			t.Fatal(err)
		}
		got, err := ReadTrace(&b)
		if err != nil {
			t.Fatal(err)
		}
		if !reflect.DeepEqual(got, want) {
			t.Errorf("%s: read back differs", s.Name)
		}
	}
}

func TestBadTraceNamesLineAndField(t *testing.T) {
	const good = "at=1s request=a customer=c service=s data-centre=d prompt-tokens=5 answer-tokens=3"
	for _, c := range []struct {
		line, field string
	}{
		{good + " colour=red", "colour"},
		{good + " at=2s", "at"},
		{strings.Replace(good, "at=1s", "at=soon", 1), "at"},
		{strings.Replace(good, "answer-tokens=3", "answer-tokens=0", 1), "answer-tokens"},
		{strings.Replace(good, "customer=c", "", 1), "customer"},
		{good + " prefix-tokens=6", "prefix-tokens"},
		{strings.Replace(good, "at=1s", "at=0s", 1), "at"},
		{"at=2s event=flood", "event"},
		{"nonsense", ""},
	} {
		_, err := ReadTrace(strings.NewReader(TraceHeader + "\n" + strings.Replace(good, "at=1s", "at=500ms", 1) + "\n" + c.line + "\n"))
		var e TraceError
		if !errors.As(err, &e) || e.Line != 3 || e.Field != c.field {
			t.Errorf("%q: got %v", c.line, err)
		}
	}
	_, err := ReadTrace(strings.NewReader("at=1s\n"))
	var e TraceError
	if !errors.As(err, &e) || e.Line != 1 {
		t.Errorf("no header: got %v", err)
	}
}

func FuzzReadTrace(f *testing.F) {
	f.Add(TraceHeader + "\nat=1s request=a customer=c service=s data-centre=d prompt-tokens=5 answer-tokens=3\n")
	f.Add(TraceHeader + "\nat=1s event=replica-lost replica=1 for=2s\n")
	f.Add("")
	f.Fuzz(func(t *testing.T, s string) {
		records, err := ReadTrace(strings.NewReader(s))
		if err != nil {
			return
		}
		var b bytes.Buffer
		if err := WriteTrace(&b, records); err != nil {
			t.Fatal(err)
		}
		again, err := ReadTrace(&b)
		if err != nil || len(again) != len(records) {
			t.Errorf("%q: %d records, then %d, %v", s, len(records), len(again), err)
		}
	})
}
