package comfreyreplay

import (
	"bytes"
	"context"
	"strings"
	"testing"
	"time"

	"comfreyridge.example/comfreyridge/comfreyadmission"
)

// testReplicas keeps the replays of the tests short.
const testReplicas = 3

func TestReplayIsDeterministic(t *testing.T) {
	o := GenerateOptions{Seed: 3, Load: 1.1, Duration: 20 * time.Second, Burst: 2, Crowd: 2, Lost: true, Replicas: testReplicas}
	var tables [2]bytes.Buffer
	for i := range tables {
		r, err := runOptions(context.Background(), AlJabal(), o, comfreyadmission.Policies...)
		if err != nil {
			t.Fatal(err)
		}
		if err := WriteTable(&tables[i], r); err != nil {
			t.Fatal(err)
		}
		if err := WriteCustomers(&tables[i], r); err != nil {
			t.Fatal(err)
		}
	}
	if tables[0].String() != tables[1].String() {
		t.Errorf("two replays differ:\n%s\n%s", &tables[0], &tables[1])
	}
}

// TestEveryCallerGetsAnOutcome loses a replica in the middle.
func TestEveryCallerGetsAnOutcome(t *testing.T) {
	for _, s := range Shapes() {
		o := GenerateOptions{Seed: 2, Load: 1.4, Duration: 30 * time.Second, Crowd: 3, Lost: true, Replicas: testReplicas}
		r, err := runOptions(context.Background(), s, o, comfreyadmission.Policies...)
		if err != nil {
			t.Fatal(err)
		}
		for _, x := range r {
			if x.Completed+x.GivenUp+x.Failed != x.Requests {
				t.Errorf("%s %s: %d callers, %d completed, %d gave up, %d failed", s.Name, x.Policy, x.Requests, x.Completed, x.GivenUp, x.Failed)
			}
		}
	}
}

func TestEngineCountsItsMemory(t *testing.T) {
	e := newEngine(EngineShape{CapacityTokens: 1000}.withDefaults())
	preempted := 0
	for i := range 20 {
		e.add(&job{prompt: 100 + i, answer: 150}, &Record{})
	}
	for range 3000 {
		d := e.step(func(*job) { preempted++ }, func(*job) {})
		if d == 0 {
			break
		}
		e.finish(func(j *job) bool { return j.generated == j.answer })
		sum := 0
		for _, j := range e.running {
			sum += j.context()
		}
		if sum != e.used || e.used > e.shape.CapacityTokens {
			t.Fatalf("used %d, sum %d, capacity %d", e.used, sum, e.shape.CapacityTokens)
		}
	}
	if len(e.running)+len(e.waiting) != 0 || preempted == 0 {
		t.Errorf("left %d and %d, preempted %d", len(e.running), len(e.waiting), preempted)
	}
}

func TestSharesFillFromTheLeast(t *testing.T) {
	c := []CustomerResult{{Asked: 100, Got: 100}, {Asked: 1000, Got: 300}, {Asked: 2000, Got: 500}}
	got := shares(c)
	if got != 0.75 || c[0].Share != 1 || c[2].Share != 1.25 {
		t.Errorf("least %.2f, shares %+v", got, c)
	}
}

func TestRunReplayReportsUsage(t *testing.T) {
	var b bytes.Buffer
	o := ReplayOptions{Policy: "greedy,fastest", Routing: "random"}
	o.Shape = "al-jabal"
	if code := RunReplay(&b, o); code != exitUsage || !strings.Contains(b.String(), "fastest") {
		t.Errorf("code %d, %s", code, &b)
	}
}

func TestReportHoldsThePictures(t *testing.T) {
	r, err := ScenarioSteady.Run(context.Background(), Shape{
		Name: "tiny", Service: "s", DataCentres: []string{"d"}, Replicas: 1, CapacityRate: 200,
		Customers: []CustomerShape{{Name: "<a>", Rate: 1, Answers: []AnswerShape{quote.withShare(1)}}},
	}, 1, 1, comfreyadmission.PolicyGreedy)
	if err != nil {
		t.Fatal(err)
	}
	var b bytes.Buffer
	if err := WriteHTML(&b, r); err != nil {
		t.Fatal(err)
	}
	s := b.String()
	if strings.Count(s, "<svg") != 2 || strings.Contains(s, "<a>") || strings.Contains(s, "src=") {
		t.Errorf("page of %d bytes holds %d pictures", len(s), strings.Count(s, "<svg"))
	}
}
