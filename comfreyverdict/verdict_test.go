package comfreyverdict_test

import (
	"fmt"
	"time"

	"comfreyridge.example/comfreyridge/comfreyverdict"
)

func ExampleFrom() {
	e := comfreyverdict.NotRun(comfreyverdict.ReasonAdmissionFull, "queue of 64 is full")
	err := fmt.Errorf("submit: %w", e.WithRetryAfter(2*time.Second))

	f := comfreyverdict.From(err)
	fmt.Println(f.Verdict, f.Reason, f.RetryAfter)
	fmt.Println(comfreyverdict.From(fmt.Errorf("broken pipe")).Verdict)
	// Output:
	// not-run admission-full 2s
	// may-have-run
}

func ExampleParseVerdict() {
	v, err := comfreyverdict.ParseVerdict("not-run")
	fmt.Println(v, err)
	_, err = comfreyverdict.ParseVerdict("maybe")
	fmt.Println(err)
	// Output:
	// not-run <nil>
	// comfreyverdict: unknown verdict "maybe", want may-have-run, not-run or ran
}

func ExampleVerdict_Join() {
	v := comfreyverdict.VerdictNotRun
	fmt.Println(v.Join(comfreyverdict.VerdictNotRun))
	fmt.Println(v.Join(comfreyverdict.VerdictMayHaveRun))
	fmt.Println(v.Join(comfreyverdict.VerdictRan))
	// Output:
	// not-run
	// may-have-run
	// ran
}
