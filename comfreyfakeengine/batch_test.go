package comfreyfakeengine_test

import (
	"context"
	"fmt"
	"net/http"
	"net/http/httptest"
	"slices"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"comfreyridge.example/comfreyridge/comfreyengine"
	"comfreyridge.example/comfreyridge/comfreyfakeengine"
)

// ask sends one request without a socket and returns when it ends.
func ask(ctx context.Context, e *comfreyfakeengine.Engine, id, priority, body string) (w *httptest.ResponseRecorder) {
	w = httptest.NewRecorder()
	r := httptest.NewRequestWithContext(ctx, http.MethodPost, "/v1/completions", strings.NewReader(body))
	r.Header.Set("X-Request-Id", id)
	r.Header.Set("X-Priority", priority)
	defer func() { _ = recover() }() // An aborted handler panics.
	e.ServeHTTP(w, r)
	return w
}

func TestPriorityGoesFirst(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		e := comfreyfakeengine.New(comfreyfakeengine.Config{StepTime: time.Millisecond, BatchSize: 1})
		defer e.Close()
		e.Stall()
		ends := make(chan string, 3)
		for _, p := range []string{"5", "1", "3"} {
			go func() {
				ask(t.Context(), e, "r"+p, p, `{"prompt":"a","fake_length":10}`)
				ends <- p
			}()
			synctest.Wait()
		}
		e.Resume()
		got := []string{<-ends, <-ends, <-ends}
		if want := []string{"1", "3", "5"}; !slices.Equal(got, want) {
			t.Errorf("ended in order %v, want %v", got, want)
		}
	})
}

func TestPrefixCacheShortensPrefill(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		e := comfreyfakeengine.New(comfreyfakeengine.Config{StepTime: time.Millisecond, PrefillTokens: 16})
		defer e.Close()
		b := fmt.Sprintf(`{"prompt":%q,"fake_length":1}`, strings.Repeat("stone ", 400))
		var took [2]time.Duration
		for i := range took {
			from := time.Now()
			ask(t.Context(), e, "r", "", b)
			took[i] = time.Since(from)
		}
		if took[1]*10 > took[0] {
			t.Errorf("the first prompt took %v, the same again %v", took[0], took[1])
		}
	})
}

func TestPreemptionCostsRecomputation(t *testing.T) {
	took := func(pushed bool) (d time.Duration) {
		synctest.Test(t, func(t *testing.T) {
			e := comfreyfakeengine.New(comfreyfakeengine.Config{StepTime: time.Millisecond, PrefillTokens: 1})
			defer e.Close()
			from := time.Now()
			if pushed {
				time.AfterFunc(50*time.Millisecond, func() { e.Preempt() })
			}
			ask(t.Context(), e, "r", "", `{"prompt":"a","fake_length":100}`)
			d = time.Since(from)
		})
		return d
	}
	if plain, pushed := took(false), took(true); pushed < plain+40*time.Millisecond {
		t.Errorf("the answer took %v, preempted %v", plain, pushed)
	}
}

func TestStepTimeGrowsWithTheBatch(t *testing.T) {
	took := func(n int) (d time.Duration) {
		synctest.Test(t, func(t *testing.T) {
			e := comfreyfakeengine.New(comfreyfakeengine.Config{StepTime: time.Millisecond, SequenceTime: time.Millisecond})
			defer e.Close()
			e.Stall()
			for i := range n {
				go ask(t.Context(), e, fmt.Sprint(i), "", `{"prompt":"a","fake_length":100}`)
			}
			synctest.Wait()
			from := time.Now()
			e.Resume()
			for l := e.Load(); l.Running+l.Waiting > 0; l = e.Load() {
				time.Sleep(time.Millisecond)
			}
			d = time.Since(from)
		})
		return d
	}
	if one, four := took(1), took(4); four < one*2 {
		t.Errorf("one answer took %v, four took %v", one, four)
	}
}

func TestAbandonedGenerationIsCancelled(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		e := comfreyfakeengine.New(comfreyfakeengine.Config{StepTime: time.Millisecond, Linger: time.Second})
		defer e.Close()
		ctx, cancel := context.WithTimeout(t.Context(), time.Second)
		defer cancel()
		ask(ctx, e, "r", "", `{"prompt":"a","fake_length":50000,"stream":true}`)
		if e.Load().Running != 1 {
			t.Error("the generation ended with its connection")
		}
		time.Sleep(time.Second + time.Millisecond)
		if r := e.Runs()["r"]; r.Cancelled != 1 || e.Load().Running != 0 {
			t.Errorf("%+v", r)
		}
	})
}

func TestCancelFreesMemory(t *testing.T) {
	e, c := serve(t, comfreyfakeengine.Config{StepTime: time.Millisecond})
	s := start(t, c, request("r", 90_000))
	next(t, s, 1)
	if err := c.Cancel(context.Background(), s.GenerationID()); err != nil {
		t.Fatal(err)
	}
	if l := e.Load(); l.UsedTokens != 0 || e.Runs()["r"].Cancelled != 1 {
		t.Errorf("%+v", l)
	}
	if err := c.Cancel(context.Background(), "unknown-1"); err != nil {
		t.Errorf("cancelling an unknown generation gives %v", err)
	}
}

func TestOrderTakesTimeAndWeights(t *testing.T) {
	var k clock
	var limit error
	e, c := serve(t, comfreyfakeengine.Config{
		LoadTime:     time.Minute,
		Now:          k.now,
		FetchWeights: func() error { return limit },
	})
	s, err := c.SendCommand(context.Background(), comfreyengine.Command{Kind: comfreyengine.CommandLoadVersion, Value: "v2", FencingNumber: 1})
	if err != nil || s.Pending == nil || s.Version != "" {
		t.Errorf("just after the order: %+v, %v", s, err)
	}
	k.advance(time.Minute)
	if s := e.State(); s.Pending != nil || s.Version != "v2" {
		t.Errorf("after the load time: %+v", s)
	}
	limit = fmt.Errorf("weight store: limit reached")
	s, err = c.SendCommand(context.Background(), comfreyengine.Command{Kind: comfreyengine.CommandLoadVersion, Value: "v3", FencingNumber: 2})
	if err != nil || s.LastError == "" || s.Version != "v2" {
		t.Errorf("past the limit: %+v, %v", s, err)
	}
}
