package comfreyorder_test

import (
	"runtime"
	"strconv"
	"testing"
	"time"

	"comfreyridge.example/comfreyridge/comfreyorder"
	"comfreyridge.example/comfreyridge/comfreyverdict"
)

var start = time.Unix(1764796800, 0)

func mustMint(t testing.TB, o *comfreyorder.Owner, now time.Time, customer string) comfreyorder.PresentedTicket {
	t.Helper()
	k, err := o.Mint(now, customer, "bookings")
	if err != nil {
		t.Fatal(err)
	}
	return comfreyorder.PresentedTicket{Ticket: k, Customer: customer, Service: "bookings"}
}

func runOrder(t testing.TB, o *comfreyorder.Owner, now time.Time, c comfreyorder.PresentedTicket, response []byte) {
	t.Helper()
	if d := o.Begin(now, c, comfreyorder.BodyHash{}).Decision; d != comfreyorder.DecisionRun {
		t.Fatalf("decision is %s, want run", d)
	}
	if err := o.Confirm(now, c.Ticket); err != nil {
		t.Fatal(err)
	}
	o.Complete(now, c.Ticket, comfreyorder.Outcome{Verdict: comfreyverdict.VerdictRan, Status: 201, Body: response})
}

func wantRefusal(t *testing.T, err error, v comfreyverdict.Verdict, r comfreyverdict.Reason) {
	t.Helper()
	if e := comfreyverdict.From(err); e.Verdict != v || e.Reason != r {
		t.Errorf("got %v, want %s: %s", err, v, r)
	}
}

func TestFullOwnerRefusesToMintAndKeepsTickets(t *testing.T) {
	o := comfreyorder.NewOwner(comfreyorder.Config{MaxTickets: 3, MaxCustomerTickets: 2, Lifetime: time.Minute, Retention: time.Minute})
	a := mustMint(t, o, start, "a")
	mustMint(t, o, start.Add(time.Second), "a")
	_, err := o.Mint(start.Add(time.Second), "a", "bookings")
	wantRefusal(t, err, comfreyverdict.VerdictNotRun, comfreyverdict.ReasonCustomerLimit)
	mustMint(t, o, start.Add(time.Second), "b")
	_, err = o.Mint(start.Add(time.Second), "c", "bookings")
	wantRefusal(t, err, comfreyverdict.VerdictNotRun, comfreyverdict.ReasonAdmissionFull)
	runOrder(t, o, start.Add(time.Second), a, nil)

	after := start.Add(time.Second + comfreyverdict.From(err).RetryAfter)
	mustMint(t, o, after, "c")
	wantRefusal(t, o.Begin(after, a, comfreyorder.BodyHash{}).Err, comfreyverdict.VerdictMayHaveRun, comfreyverdict.ReasonTicketUnknown)
}

func TestRecordsAreRemovedAfterRetention(t *testing.T) {
	o := comfreyorder.NewOwner(comfreyorder.Config{Lifetime: time.Minute, Retention: time.Minute})
	a := mustMint(t, o, start, "a")
	b := mustMint(t, o, start, "a")
	o.Begin(start, b, comfreyorder.BodyHash{})
	if err := o.Confirm(start, b.Ticket); err != nil {
		t.Fatal(err)
	}
	late := start.Add(3 * time.Minute)
	if _, err := o.State(late, a); err == nil || o.Len() != 1 {
		t.Errorf("%d records are retained, want only the one whose order still runs", o.Len())
	}
	o.Complete(late, b.Ticket, comfreyorder.Outcome{Verdict: comfreyverdict.VerdictRan, Status: 201})
	if d := o.Begin(late.Add(59*time.Second), b, comfreyorder.BodyHash{}).Decision; d != comfreyorder.DecisionRecorded {
		t.Errorf("decision is %s, want recorded during the retention period", d)
	}
	o.Leave(late.Add(3 * time.Minute))
	if o.Len() != 0 {
		t.Errorf("%d records are retained after all retention periods, want 0", o.Len())
	}
}

func TestOutcomeBodiesAreBounded(t *testing.T) {
	o := comfreyorder.NewOwner(comfreyorder.Config{MaxOutcomeBytes: 10, MaxTotalOutcomeBytes: 15})
	var s []comfreyorder.PresentedTicket
	for _, n := range []int{11, 9, 9, 6} {
		c := mustMint(t, o, start, "a")
		runOrder(t, o, start, c, make([]byte, n))
		s = append(s, c)
	}
	for _, i := range []int{0, 1} {
		wantRefusal(t, o.Begin(start, s[i], comfreyorder.BodyHash{}).Err, comfreyverdict.VerdictRan, comfreyverdict.ReasonOutcomeDropped)
	}
	for _, i := range []int{2, 3} {
		if d := o.Begin(start, s[i], comfreyorder.BodyHash{}).Decision; d != comfreyorder.DecisionRecorded {
			t.Errorf("outcome %d: decision is %s, want recorded", i, d)
		}
	}
}

func TestExpiredTicketStaysVoidWhenClockStepsBack(t *testing.T) {
	o := comfreyorder.NewOwner(comfreyorder.Config{Lifetime: time.Minute})
	c := mustMint(t, o, start, "a")
	o.Begin(start, c, comfreyorder.BodyHash{})
	mustMint(t, o, start.Add(2*time.Minute), "a")
	wantRefusal(t, o.Confirm(start, c.Ticket), comfreyverdict.VerdictNotRun, comfreyverdict.ReasonTicketExpired)
}

func TestTicketOfAnotherCustomerIsRefused(t *testing.T) {
	o := comfreyorder.NewOwner(comfreyorder.Config{})
	c := mustMint(t, o, start, "a")
	c.Customer = "b"
	wantRefusal(t, o.Begin(start, c, comfreyorder.BodyHash{}).Err, comfreyverdict.VerdictMayHaveRun, comfreyverdict.ReasonTicketCustomer)
	_, err := o.Void(start, c)
	wantRefusal(t, err, comfreyverdict.VerdictMayHaveRun, comfreyverdict.ReasonTicketCustomer)
	c.Customer = "a"
	if p, _ := o.State(start, c); p.State != comfreyorder.StateMinted {
		t.Errorf("state is %s, want minted", p.State)
	}
}

// BenchmarkOrder measures an order at its owner from Mint to Complete, and the
// memory of a completed order whose response has no body.
func BenchmarkOrder(b *testing.B) {
	o := comfreyorder.NewOwner(comfreyorder.Config{MaxTickets: b.N, MaxCustomerTickets: b.N})
	var m, n runtime.MemStats
	runtime.GC()
	runtime.ReadMemStats(&m)
	b.ReportAllocs()
	b.ResetTimer()
	for range b.N {
		runOrder(b, o, start, mustMint(b, o, start, "a"), nil)
	}
	b.StopTimer()
	runtime.GC()
	runtime.ReadMemStats(&n)
	b.ReportMetric(float64(int64(n.HeapAlloc)-int64(m.HeapAlloc))/float64(b.N), "B/record")
	runtime.KeepAlive(o)
}

func BenchmarkParseTicket(b *testing.B) {
	s := sampleTicket().Format(key)
	b.ReportAllocs()
	for range b.N {
		if _, err := comfreyorder.ParseTicket(s, key); err != nil {
			b.Fatal(err)
		}
	}
}

func BenchmarkMintAtFullTable(b *testing.B) {
	o := comfreyorder.NewOwner(comfreyorder.Config{MaxCustomerTickets: 16384})
	for i := range 16384 {
		mustMint(b, o, start, strconv.Itoa(i%100))
	}
	for range b.N {
		if _, err := o.Mint(start, "a", "bookings"); err == nil {
			b.Fatal("minted")
		}
	}
}
