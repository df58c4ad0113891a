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
	seeds = flag.Uint64("seeds", 5000, "number of seeds of the randomized tests")
	seed  = flag.Uint64("seed", 1, "first seed of the randomized tests")
)

// producer is a sidecar that produces the frames of one generation.
type producer struct {
	id     comfreystream.GenerationID
	window *comfreystream.ReplayWindow
	length uint64
}

func (p *producer) produce(t *testing.T) {
	if p.window.Ended() {
		return
	}
	var b [16]byte
	binary.BigEndian.PutUint64(b[:], p.id.Counter)
	binary.BigEndian.PutUint64(b[8:], p.window.Next())
	f := p.window.Append
	if p.window.Next() == p.length {
		f = p.window.End
	}
	if _, err := f(b[:]); err != nil {
		t.Fatal(err)
	}
}

// packet is a frame in transit. It may arrive late, twice or at the wrong
// receiver.
type packet struct {
	id    comfreystream.GenerationID
	frame comfreystream.Frame
}

// caller reads one response, through one gateway after another.
type caller struct {
	producer     *producer
	sequencer    *comfreystream.Sequencer
	nextSend     uint64 // the next frame that the sidecar sends
	inFlight     []packet
	lastEventID  string // the id of the last event received
	received     []packet
	windowPassed bool // the next frame was no longer in the replay window
	complete     bool // a gateway's sequencer reported the response complete
}

// connect starts or resumes the stream at a new gateway, which knows only the
// caller's last event id.
func (c *caller) connect(t *testing.T) {
	after := uint64(0)
	id := c.producer.id
	if c.lastEventID != "" {
		e, err := comfreystream.ParseEventID(c.lastEventID)
		if err != nil {
			t.Fatal(err)
		}
		id, after = e.Generation, e.Seq
	}
	c.sequencer = comfreystream.NewSequencer(id, after)
	c.nextSend = after + 1
}

// send makes the sidecar send the frames that it has from nextSend on.
func (c *caller) send(t *testing.T) {
	s, err := c.producer.window.From(c.nextSend)
	var e comfreyverdict.Error
	if errors.As(err, &e) && e.Reason == comfreyverdict.ReasonReplayWindowPassed {
		c.windowPassed = true
		return
	}
	if err != nil {
		t.Fatal(err)
	}
	for _, f := range s {
		c.inFlight = append(c.inFlight, packet{c.producer.id, f})
		c.nextSend = f.Seq + 1
	}
}

// receive makes the gateway read a packet.
func (c *caller) receive(p packet) {
	d := c.sequencer.Accept(p.id, p.frame)
	c.complete = c.complete || c.sequencer.Complete()
	switch d {
	case comfreystream.DispositionDeliver:
		c.received = append(c.received, p)
		c.lastEventID = comfreystream.EventID{Generation: p.id, Seq: p.frame.Seq}.String()
	case comfreystream.DispositionGap: // close the connection and resume from Next
		c.inFlight = nil
		c.nextSend = c.sequencer.Next()
	}
}

// simulation runs two callers, each of which may receive frames of the other.
type simulation struct {
	random  *rand.Rand
	callers [2]*caller
}

func newSimulation(t *testing.T, seed uint64) *simulation {
	s := &simulation{random: rand.New(rand.NewPCG(seed, 5))}
	for i := range s.callers {
		id := comfreystream.GenerationID{Host: "a", Incarnation: 9, Counter: uint64(i + 1)}
		w := comfreystream.ReplayWindowConfig{MaxBytes: 400 + s.random.IntN(4000), MaxAcknowledgedBytes: 200}
		c := &caller{producer: &producer{id: id, window: comfreystream.NewReplayWindow(w), length: uint64(1 + s.random.IntN(60))}}
		c.connect(t)
		s.callers[i] = c
	}
	return s
}

// step performs one random event for one caller.
func (s *simulation) step(t *testing.T) {
	i := s.random.IntN(2)
	c := s.callers[i]
	switch s.random.IntN(14) {
	case 0, 1, 2:
		c.producer.produce(t)
	case 3, 4:
		c.send(t)
	case 5, 6:
		if len(c.inFlight) > 0 {
			p := c.inFlight[0]
			c.inFlight = c.inFlight[1:]
			c.receive(p)
		}
	case 7:
		c.producer.window.Acknowledge(c.sequencer.Next() - 1)
	case 8: // a frame is duplicated
		if len(c.inFlight) > 0 {
			c.inFlight = append(c.inFlight, c.inFlight[s.random.IntN(len(c.inFlight))])
		}
	case 9: // frames are reordered
		if len(c.inFlight) > 1 {
			k := s.random.IntN(len(c.inFlight) - 1)
			c.inFlight[k], c.inFlight[k+1] = c.inFlight[k+1], c.inFlight[k]
		}
	case 10: // a frame is also sent to the other caller
		o := s.callers[1-i]
		if len(c.inFlight) > 0 {
			o.inFlight = append(o.inFlight, c.inFlight[s.random.IntN(len(c.inFlight))])
		}
	case 11: // the connection is lost and the gateway resumes
		c.inFlight = c.inFlight[:s.random.IntN(len(c.inFlight)+1)]
		c.nextSend = c.sequencer.Next()
	case 12: // the gateway is replaced and the caller resumes
		c.connect(t)
	case 13: // frames of an old connection arrive again, late
		if len(c.inFlight) < 100 {
			c.inFlight = append(c.inFlight, c.inFlight...)
		}
	}
}

// finish runs without faults until all frames are produced and received. A gap
// left by the faults before needs one more round.
func (c *caller) finish(t *testing.T) {
	for !c.producer.window.Ended() {
		c.producer.produce(t)
	}
	for range 3 {
		c.send(t)
		for len(c.inFlight) > 0 {
			p := c.inFlight[0]
			c.inFlight = c.inFlight[1:]
			c.receive(p)
		}
	}
}

// check asserts that the caller received each frame of its own generation once
// and in order, and that the response was reported complete if and only if it
// was. A response may be incomplete only if the replay window has passed.
func (c *caller) check(t *testing.T, seed uint64) {
	for i, p := range c.received {
		n := binary.BigEndian.Uint64(p.frame.Payload)
		k := binary.BigEndian.Uint64(p.frame.Payload[8:])
		if n != c.producer.id.Counter || k != uint64(i+1) {
			t.Fatalf("seed %d: frame %d of generation %d was delivered as number %d of generation %d", seed, k, n, i+1, c.producer.id.Counter)
		}
	}
	isComplete := uint64(len(c.received)) == c.producer.length
	if c.complete != isComplete || !isComplete && !c.windowPassed {
		t.Fatalf("seed %d: received %d of %d frames, complete %t, window passed %t", seed, len(c.received), c.producer.length, c.complete, c.windowPassed)
	}
}

func TestEachFrameOnceInOrderFromOneGeneration(t *testing.T) {
	passed := 0
	for i := range *seeds {
		s := newSimulation(t, *seed+i)
		for range 400 {
			s.step(t)
		}
		for _, c := range s.callers {
			c.finish(t)
			c.check(t, *seed+i)
			if c.windowPassed {
				passed++
			}
		}
	}
	t.Logf("%d simulations of two streams; the replay window passed in %d streams", *seeds, passed)
}

func TestSwitchGenerationOnlyBeforeFirstFrame(t *testing.T) {
	a := comfreystream.GenerationID{Host: "a", Counter: 1}
	b := comfreystream.GenerationID{Host: "b", Counter: 1}
	s := comfreystream.NewSequencer(a, 0)
	if err := s.SwitchGeneration(b); err != nil {
		t.Fatal(err)
	}
	if got := s.Accept(a, comfreystream.Frame{Seq: 1}); got != comfreystream.DispositionForeign {
		t.Errorf("disposition of a frame of the old generation is %s, want foreign", got)
	}
	s.Accept(b, comfreystream.Frame{Seq: 1})
	if e := comfreyverdict.From(s.SwitchGeneration(a)); e.Reason != comfreyverdict.ReasonForeignGeneration {
		t.Errorf("switch after the first frame: got %s, want reason foreign-generation", e)
	}
	if comfreyverdict.From(comfreystream.NewSequencer(a, 4).SwitchGeneration(b)).Verdict != comfreyverdict.VerdictRan {
		t.Error("a resumed stream was switched to another generation")
	}
}

func TestRequestTrackerCountsEachRequestOnce(t *testing.T) {
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
		t.Errorf("totals are %+v, want 1000 accepted, 1000 with an outcome and 0 open", s)
	}
}

func TestRequestTrackerReportsViolations(t *testing.T) {
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
				t.Errorf("%d violations, want 1", n)
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
				t.Errorf("error %v does not wrap ErrMalformedID", err)
			}
			return
		}
		if e.String() != s {
			t.Errorf("%q is parsed as %q", s, e)
		}
	})
}

func BenchmarkReplayWindowAndSequencer(b *testing.B) {
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
