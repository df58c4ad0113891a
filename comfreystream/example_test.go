package comfreystream_test

import (
	"fmt"

	"comfreyridge.example/comfreyridge/comfreystream"
)

func ExampleParseEventID() {
	e, err := comfreystream.ParseEventID("10.0.0.7:9001:1764796547:12/34")
	fmt.Println(e.Generation.Host, e.Generation.Incarnation, e.Generation.Counter, e.Seq, err)
	_, err = comfreystream.ParseEventID("10.0.0.7:1:012/34")
	fmt.Println(err)
	// Output:
	// 10.0.0.7:9001 1764796547 12 34 <nil>
	// comfreystream: malformed id: "10.0.0.7:1:012/34"
}

func ExampleSequencer() {
	g := comfreystream.GenerationID{Host: "a", Incarnation: 1, Counter: 1}
	s := comfreystream.NewSequencer(g, 0)
	fmt.Println(s.Accept(g, comfreystream.Frame{Seq: 1}))
	fmt.Println(s.Accept(g, comfreystream.Frame{Seq: 1}))
	fmt.Println(s.Accept(g, comfreystream.Frame{Seq: 3}))
	fmt.Println(s.Accept(comfreystream.GenerationID{Host: "b"}, comfreystream.Frame{Seq: 2}))
	fmt.Println(s.Accept(g, comfreystream.Frame{Seq: 2, End: true}), s.Complete())
	// Output:
	// deliver
	// duplicate
	// gap
	// foreign
	// deliver true
}

func ExampleReplayWindow() {
	r := comfreystream.NewReplayWindow(comfreystream.ReplayWindowConfig{MaxBytes: 100})
	for _, w := range []string{"cut", "the", "slab"} {
		if _, err := r.Append([]byte(w)); err != nil {
			fmt.Println(err)
		}
	}
	if _, err := r.End(nil); err != nil {
		fmt.Println(err)
	}
	f, err := r.From(3)
	fmt.Println(len(f), f[0].Seq, f[1].End, err)
	_, err = r.From(1)
	fmt.Println(err)
	// Output:
	// 2 3 true <nil>
	// comfreyverdict: ran: replay-window-passed: frame 1 was requested, but the oldest retained frame is 3
}
