package comfreyfakeengine_test

import (
	"context"
	"errors"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"comfreyridge.example/comfreyridge/comfreyengine"
	"comfreyridge.example/comfreyridge/comfreyfakeengine"
	"comfreyridge.example/comfreyridge/comfreyverdict"
)

// clock is a clock that tests move.
type clock struct {
	elapsed atomic.Int64
}

// epoch is where each clock begins.
var epoch = time.Unix(1000, 0)

func (c *clock) now() time.Time {
	return epoch.Add(time.Duration(c.elapsed.Load()))
}

func (c *clock) advance(d time.Duration) {
	c.elapsed.Add(int64(d))
}

// next reads n events.
func next(t *testing.T, s *comfreyengine.Stream, n int) {
	t.Helper()
	for range n {
		if _, err := s.Next(); err != nil {
			t.Fatal(err)
		}
	}
}

func TestCrashLosesMemoryAndIdentity(t *testing.T) {
	e, c := serve(t, comfreyfakeengine.Config{StepTime: time.Millisecond})
	old := e.Identity()
	s := start(t, c, request("r", 1_000_000))
	next(t, s, 3)
	e.Crash(0)
	if v := comfreyverdict.From(read(t, s)); v.Verdict != comfreyverdict.VerdictRan {
		t.Errorf("the stream ended with %v", v)
	}
	if e.Identity() == old {
		t.Error("the identity stayed")
	}
	_, err := c.Resume(context.Background(), s.GenerationID(), 3)
	if r := comfreyverdict.From(err).Reason; r != comfreyverdict.ReasonUnknownGeneration {
		t.Errorf("resuming gives %v", err)
	}
	if r := e.Runs()["r"]; r.Lost != 1 || e.Load().Running != 0 {
		t.Errorf("%+v, load %+v", r, e.Load())
	}
}

func TestDownEngineAnswersNothingButTheTruth(t *testing.T) {
	e, c := serve(t, comfreyfakeengine.Config{})
	e.Crash(time.Hour)
	if err := c.CheckHealth(context.Background()); err == nil {
		t.Error("a crashed engine is healthy")
	}
	w := httptest.NewRecorder()
	e.ServeHTTP(w, httptest.NewRequest(http.MethodGet, "/fake/runs", nil))
	if w.Code != http.StatusOK {
		t.Errorf("status %d", w.Code)
	}
}

func TestPoisonCrashesWhoeverRunsIt(t *testing.T) {
	e, c := serve(t, comfreyfakeengine.Config{})
	p := request("poison", 5)
	p.Body = []byte(`{"prompt":"` + comfreyfakeengine.PoisonText + `"}`)
	for i := range 2 {
		s, err := c.Start(context.Background(), p)
		if err == nil {
			err = read(t, s)
		}
		if v := comfreyverdict.From(err); v.Verdict != comfreyverdict.VerdictMayHaveRun {
			t.Errorf("the poisoned request ended with %v", err)
		}
		if e.Crashes() != i+1 {
			t.Errorf("%d crashes", e.Crashes())
		}
	}
}

func TestStallKeepsConnections(t *testing.T) {
	e, c := serve(t, comfreyfakeengine.Config{StepTime: time.Millisecond})
	s := start(t, c, request("r", 100))
	next(t, s, 1)
	e.Stall()
	before := e.Load()
	time.Sleep(20 * time.Millisecond)
	if after := e.Load(); after.UsedTokens != before.UsedTokens {
		t.Errorf("memory went from %d to %d tokens", before.UsedTokens, after.UsedTokens)
	}
	e.Resume()
	next(t, s, 100)
}

func TestPreemptRepeatsNoToken(t *testing.T) {
	e, c := serve(t, comfreyfakeengine.Config{StepTime: time.Millisecond})
	s := start(t, c, request("r", 60))
	next(t, s, 5)
	if !e.Preempt() {
		t.Fatal("nothing ran")
	}
	_ = read(t, s)
	if r := e.Runs()["r"]; s.Tokens() != 60 || r.Preempted != 1 || r.Began != 1 {
		t.Errorf("%d tokens, %+v", s.Tokens(), r)
	}
}

func TestSlowReaderIsCut(t *testing.T) {
	e, c := serve(t, comfreyfakeengine.Config{
		CapacityTokens: 1 << 40,
		WriteTimeout:   10 * time.Millisecond,
		Linger:         time.Nanosecond,
	})
	start(t, c, request("r", 1<<30))
	for e.Runs()["r"].Cancelled == 0 {
		time.Sleep(time.Millisecond)
	}
}

func TestReclaimComesAfterItsNotice(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		e := comfreyfakeengine.New(comfreyfakeengine.Config{})
		defer e.Close()
		e.Reclaim(time.Minute)
		if !e.State().Reclaimed || e.Crashes() != 0 {
			t.Error("the notice is missing or the engine is gone")
		}
		time.Sleep(time.Minute + time.Second)
		if e.Crashes() != 1 {
			t.Error("the engine is still there")
		}
	})
}

func TestLoadReportsLagAndGoMissing(t *testing.T) {
	var k clock
	e, c := serve(t, comfreyfakeengine.Config{LoadLag: 10 * time.Second, Now: k.now})
	e.Stall()
	if _, err := c.Load(context.Background()); err != nil {
		t.Fatal(err)
	}
	start(t, c, request("r", 5))
	for range 3 {
		l, err := c.Load(context.Background())
		old := k.now().Before(epoch.Add(10 * time.Second))
		if err != nil || old && l.Waiting != 0 || !old && l.AsOf.After(k.now().Add(-10*time.Second)) {
			t.Errorf("at %v: %+v, %v", k.now(), l, err)
		}
		k.advance(9 * time.Second)
	}
	e.SetLoadMissing(true)
	_, err := c.Load(context.Background())
	if err == nil || errors.Is(err, context.Canceled) {
		t.Errorf("a missing report gives %v", err)
	}
}

func TestCacheEventsComeLateAndWithGaps(t *testing.T) {
	var k clock
	_, c := serve(t, comfreyfakeengine.Config{LoadLag: time.Second, CacheEventGap: 3, Now: k.now})
	r := request("r", 1)
	r.Body = []byte(`{"prompt":"` + prompt500() + `","fake_length":1}`)
	_ = read(t, start(t, c, r))
	early, err := c.CacheEvents(context.Background(), 0)
	if err != nil || len(early) != 0 {
		t.Errorf("early events %v, %v", early, err)
	}
	k.advance(time.Second)
	late, err := c.CacheEvents(context.Background(), 1)
	if err != nil || len(late) != 4 || late[0].Sequence != 2 || late[1].Sequence != 4 {
		t.Errorf("late events %v, %v", late, err)
	}
}

// prompt500 returns 500 bytes of prompt, whose JSON has seven full blocks.
func prompt500() string {
	return strings.Repeat("stone", 100)
}

func TestSwitchesByHTTP(t *testing.T) {
	e := comfreyfakeengine.New(comfreyfakeengine.Config{})
	defer e.Close()
	for _, p := range []string{"/fake/stall", "/fake/resume", "/fake/preempt", "/fake/load-missing", "/fake/load-present", "/fake/reclaim?notice=1h", "/fake/crash?down=1h", "/fake/crash"} {
		w := httptest.NewRecorder()
		e.ServeHTTP(w, httptest.NewRequest(http.MethodPost, p, nil))
		if w.Code != http.StatusNoContent {
			t.Errorf("%s gives status %d", p, w.Code)
		}
	}
	if !e.State().Reclaimed || e.Crashes() != 2 {
		t.Errorf("%+v after %d crashes", e.State(), e.Crashes())
	}
}
