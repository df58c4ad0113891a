package comfreyorder_test

import (
	"fmt"
	"time"

	"comfreyridge.example/comfreyridge/comfreyorder"
	"comfreyridge.example/comfreyridge/comfreyverdict"
)

func ExampleOwner() {
	now := time.Unix(1764796800, 0)
	o := comfreyorder.NewOwner(comfreyorder.Config{Host: "10.2.0.17:7000", Incarnation: 3})
	t, err := o.Mint(now, "gravure-pierre", "slab-orders")
	if err != nil {
		fmt.Println(err)
		return
	}

	c := comfreyorder.PresentedTicket{Ticket: t, Customer: "gravure-pierre", Service: "slab-orders"}
	h := comfreyorder.HashBody("application/json", []byte(`{"slab":"carrara"}`))
	fmt.Println(o.Begin(now, c, h).Decision)
	fmt.Println(o.Begin(now, c, h).Decision)
	fmt.Println(o.Confirm(now, t))
	o.Complete(now, t, comfreyorder.Outcome{Verdict: comfreyverdict.VerdictRan, Status: 201})

	a := o.Begin(now, c, h)
	fmt.Println(a.Decision, a.Outcome.Status)
	fmt.Println(o.Begin(now, c, comfreyorder.HashBody("", nil)).Err)
	// Output:
	// run
	// wait
	// <nil>
	// recorded 201
	// comfreyverdict: may-have-run: ticket-body-differs: the ticket is bound to another body
}

func ExampleOwner_Void() {
	now := time.Unix(1764796800, 0)
	o := comfreyorder.NewOwner(comfreyorder.Config{Host: "10.2.0.17:7000", Incarnation: 3})
	t, _ := o.Mint(now, "al-jabal", "bookings")
	c := comfreyorder.PresentedTicket{Ticket: t, Customer: "al-jabal", Service: "bookings"}
	p, _ := o.Void(now, c)
	fmt.Println(p.State, p.Verdict)
	fmt.Println(o.Begin(now, c, comfreyorder.HashBody("", nil)).Err)
	// Output:
	// void not-run
	// comfreyverdict: not-run: ticket-void: the ticket is void; mint another one
}

func ExampleParseTicket() {
	key := []byte("a key shared by the processes of one fleet")
	s := comfreyorder.Ticket{OwnerHost: "10.2.0.17:7000", OwnerIncarnation: 3, Expiry: time.UnixMilli(0)}.Format(key)
	t, err := comfreyorder.ParseTicket(s, key)
	fmt.Println(t.OwnerHost, t.OwnerIncarnation, err)
	_, err = comfreyorder.ParseTicket(s, []byte("another key"))
	fmt.Println(err)
	// Output:
	// 10.2.0.17:7000 3 <nil>
	// comfreyorder: ticket has a wrong authentication code
}
