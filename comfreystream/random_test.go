package comfreystream_test

import (
	"encoding/binary"
	"errors"
	"flag"
	"math/rand/v2"
	"testing"
	"time"

	"comfreyridge.example/comfreyridge/comfreystream"
	"comfreyridge.example/comfreyridge/comfreyverdict"
)

var (
	seeds = flag.Uint64("seeds", 5000, "how many seeds the random tests run")
	seed  = flag.Uint64("seed", 1, "first seed of the random tests")
)

// source is a sidecar that produces the frames of one generation.
type source struct {
	id     comfreystream.GenerationID
	replay *comfreystream.ReplayWindow
	length uint64
}

func (s *source) produce(t *testing.T) {
	if s.replay.Ended() {
		return
	}
	var b [16]byte
	binary.BigEndian.PutUint64(b[:], s.id.Counter)
	binary.BigEndian.PutUint64(b[8:], s.replay.Next())
	f := s.replay.Append
	if s.replay.Next() == s.length {
		f = s.replay.End
	}
	if _, err := f(b[:]); err != nil {
		t.Fatal(err)
	}
}

// packet is a frame on the way, which may come late, twice or to the wrong
// receiver.
type packet struct {
	id    comfreystream.GenerationID
	frame comfreystream.Frame
}

// caller reads one answer, through one gateway after another.
type caller struct {
	source    *source
	sequencer *comfreystream.Sequencer
	sent      uint64 // the next frame that the sidecar writes
	wire      []packet
	last      string // the id of the last event
	got       []packet
	passed    bool // the replay window has passed
	complete  bool // a gateway took the answer for complete
}

// connect starts or resumes at a new gateway, which knows only what the caller
// says.
func (c *caller) connect(t *testing.T) {
	after := uint64(0)
	id := c.source.id
	if c.last != "" {
		e, err := comfreystream.ParseEventID(c.last)
		if err != nil {
			t.Fatal(err)
		}
		id, after = e.Generation, e.Seq
	}
	c.sequencer = comfreystream.NewSequencer(id, after)
	c.sent = after + 1
}

// write puts the frames that the sidecar has on the wire.
func (c *caller) write(t *testing.T) {
	s, err := c.source.replay.From(c.sent)
	var e comfreyverdict.Error
	if errors.As(err, &e) && e.Reason == comfreyverdict.ReasonReplayWindowPassed {
		c.passed = true
		return
	}
	if err != nil {
		t.Fatal(err)
	}
	for _, f := range s {
		c.wire = append(c.wire, packet{c.source.id, f})
		c.sent = f.Seq + 1
	}
}

// receive is the gateway reading one packet.
func (c *caller) receive(p packet) {
	a := c.sequencer.Accept(p.id, p.frame)
	c.complete = c.complete || c.sequencer.Complete()
	switch a {
	case comfreystream.DispositionDeliver:
		c.got = append(c.got, p)
		c.last = comfreystream.EventID{Generation: p.id, Seq: p.frame.Seq}.String()
	case comfreystream.DispositionGap: // close the connection and resume on a new one
		c.wire = nil
		c.sent = c.sequencer.Next()
	}
}

// streams is one random run of two callers whose frames may cross.
type streams struct {
	random  *rand.Rand
	callers [2]*caller
}

func newStreams(t *testing.T, seed uint64) *streams {
	s := &streams{random: rand.New(rand.NewPCG(seed, 5))}
	for i := range s.callers {
		id := comfreystream.GenerationID{Host: "a", Incarnation: 9, Counter: uint64(i + 1)}
		w := comfreystream.ReplayWindowConfig{MaxBytes: 400 + s.random.IntN(4000), MaxAcknowledgedBytes: 200}
		c := &caller{source: &source{id: id, replay: comfreystream.NewReplayWindow(w), length: uint64(1 + s.random.IntN(60))}}
		c.connect(t)
		s.callers[i] = c
	}
	return s
}

// step does one random thing to one caller.
func (s *streams) step(t *testing.T) {
	i := s.random.IntN(2)
	c := s.callers[i]
	switch s.random.IntN(14) {
	case 0, 1, 2:
		c.source.produce(t)
	case 3, 4:
		c.write(t)
	case 5, 6:
		if len(c.wire) > 0 {
			p := c.wire[0]
			c.wire = c.wire[1:]
			c.receive(p)
		}
	case 7:
		c.source.replay.Acknowledge(c.sequencer.Next() - 1)
	case 8: // a frame comes twice
		if len(c.wire) > 0 {
			c.wire = append(c.wire, c.wire[s.random.IntN(len(c.wire))])
		}
	case 9: // frames overtake each other
		if len(c.wire) > 1 {
			k := s.random.IntN(len(c.wire) - 1)
			c.wire[k], c.wire[k+1] = c.wire[k+1], c.wire[k]
		}
	case 10: // frames cross between the two requests
		o := s.callers[1-i]
		if len(c.wire) > 0 {
			o.wire = append(o.wire, c.wire[s.random.IntN(len(c.wire))])
		}
	case 11: // the connection is cut and the gateway resumes
		c.wire = c.wire[:s.random.IntN(len(c.wire)+1)]
		c.sent = c.sequencer.Next()
	case 12: // the gateway is replaced and the caller resumes
		c.connect(t)
	case 13: // frames of a silent connection come late
		if len(c.wire) < 100 {
			c.wire = append(c.wire, c.wire...)
		}
	}
}

// settle runs without faults until nothing more comes. A gap left over from the
// faults costs one more round.
func (c *caller) settle(t *testing.T) {
	for !c.source.replay.Ended() {
		c.source.produce(t)
	}
	for range 3 {
		c.write(t)
		for len(c.wire) > 0 {
			p := c.wire[0]
			c.wire = c.wire[1:]
			c.receive(p)
		}
	}
}

// check asserts what a caller has got.
func (c *caller) check(t *testing.T, seed uint64) {
	for i, p := range c.got {
		n := binary.BigEndian.Uint64(p.frame.Payload)
		k := binary.BigEndian.Uint64(p.frame.Payload[8:])
		if n != c.source.id.Counter || k != uint64(i+1) {
			t.Fatalf("seed %d: frame %d of generation %d came as number %d of generation %d", seed, k, n, i+1, c.source.id.Counter)
		}
	}
	whole := uint64(len(c.got)) == c.source.length
	if c.complete != whole || !whole && !c.passed {
		t.Fatalf("seed %d: %d of %d frames, complete %t, window passed %t", seed, len(c.got), c.source.length, c.complete, c.passed)
	}
}

func TestEachFrameOnceInOrderFromOneGeneration(t *testing.T) {
	passed := 0
	for i := range *seeds {
		s := newStreams(t, *seed+i)
		for range 400 {
			s.step(t)
		}
		for _, c := range s.callers {
			c.settle(t)
			c.check(t, *seed+i)
			if c.passed {
				passed++
			}
		}
	}
	t.Logf("%d runs of two streams; the replay window passed in %d streams", *seeds, passed)
}

func TestRestartOnlyBeforeTheFirstFrame(t *testing.T) {
	a := comfreystream.GenerationID{Host: "a", Counter: 1}
	b := comfreystream.GenerationID{Host: "b", Counter: 1}
	s := comfreystream.NewSequencer(a, 0)
	if err := s.SwitchGeneration(b); err != nil {
		t.Fatal(err)
	}
	if got := s.Accept(a, comfreystream.Frame{Seq: 1}); got != comfreystream.DispositionForeign {
		t.Errorf("a frame of the old generation: %s", got)
	}
	s.Accept(b, comfreystream.Frame{Seq: 1})
	if e := comfreyverdict.From(s.SwitchGeneration(a)); e.Reason != comfreyverdict.ReasonForeignGeneration {
		t.Errorf("restart after the first frame: %s", e)
	}
	if comfreyverdict.From(comfreystream.NewSequencer(a, 4).SwitchGeneration(b)).Verdict != comfreyverdict.VerdictRan {
		t.Error("a resumed stream was restarted")
	}
}

func TestConservationCountsEachRequestOnce(t *testing.T) {
	var c comfreystream.RequestTracker
	now := time.Unix(1000, 0)
	r := rand.New(rand.NewPCG(*seed, 6))
	open := []string{}
	for i := range 1000 {
		n := string(rune('a'+i%26)) + time.Duration(i).String()
		c.Accept(n, now.Add(time.Minute))
		open = append(open, n)
		for len(open) > r.IntN(10) {
			c.End(open[0], comfreystream.Outcome(r.IntN(3)))
			open = open[1:]
		}
	}
	for _, n := range open {
		c.End(n, comfreystream.OutcomeEnded)
	}
	c.CheckDrained()
	s := c.Totals()
	if s.Accepted != 1000 || s.Open != 0 || s.Ended+s.Failed+s.Cancelled != 1000 {
		t.Errorf("totals are %+v", s)
	}
}

func TestConservationSeesWhatIsWrong(t *testing.T) {
	now := time.Unix(1000, 0)
	cases := map[string]func(c *comfreystream.RequestTracker){
		"ended twice":    func(c *comfreystream.RequestTracker) { c.End("a", 0); c.End("a", 0) },
		"accepted twice": func(c *comfreystream.RequestTracker) { c.Accept("a", now) },
		"never ended":    func(c *comfreystream.RequestTracker) { c.CheckDrained() },
		"overdue":        func(c *comfreystream.RequestTracker) { c.CheckOverdue(now.Add(time.Hour), time.Second) },
	}
	for name, f := range cases {
		t.Run(name, func(t *testing.T) {
			n := violations(func() {
				var c comfreystream.RequestTracker
				c.Accept("a", now)
				f(&c)
			})
			if n != 1 {
				t.Errorf("%d violations", n)
			}
		})
	}
}

func FuzzParseEventID(f *testing.F) {
	f.Add("10.0.0.7:9001:1764796547:12/34")
	f.Add("a:1:2/3")
	f.Add("[::1]:7000:18446744073709551615:0/0")
	f.Add(":1:2/3")
	f.Add("a:01:2/3")
	f.Add("a\r\nb:1:2/3")
	f.Fuzz(func(t *testing.T, s string) {
		e, err := comfreystream.ParseEventID(s)
		if err != nil {
			if !errors.Is(err, comfreystream.ErrMalformedID) {
				t.Errorf("untyped error %v", err)
			}
			return
		}
		if e.String() != s {
			t.Errorf("%q is read as %q", s, e)
		}
	})
}

func BenchmarkReplayAndSequencer(b *testing.B) {
	id := comfreystream.GenerationID{Host: "10.0.0.7:9001", Incarnation: 9, Counter: 1}
	r := comfreystream.NewReplayWindow(comfreystream.ReplayWindowConfig{})
	s := comfreystream.NewSequencer(id, 0)
	p := make([]byte, 32)
	b.ReportAllocs()
	for b.Loop() {
		f, err := r.Append(p)
		if err != nil || s.Accept(id, f) != comfreystream.DispositionDeliver {
			b.Fatal("not delivered")
		}
		r.Acknowledge(f.Seq)
	}
	b.ReportMetric(float64(r.SizeBytes()), "B/window")
}
