package comfreyreplay

import (
	"fmt"
	"io"
	"text/tabwriter"
	"time"
)

// WriteTable writes the figures of each result, one line a policy.
func WriteTable(w io.Writer, results []Result) error {
	t := tabwriter.NewWriter(w, 0, 0, 2, ' ', tabwriter.AlignRight)
	fmt.Fprintln(t, "policy\tstall p50\tstall p99\tfirst token p95\tinter-token p95\tinter-token p99\tpreempted/100\ttokens/s\tcompleted\tgiven up\tfailed\trefusals\tkept\tfairness\t")
	for _, r := range results {
		fmt.Fprintf(t, "%s\t%s\t%s\t%s\t%s\t%s\t%.2f\t%.0f\t%d\t%d\t%d\t%d\t%.1f%%\t%.2f\t\n",
			r.Policy, short(r.Stall.Quantile(0.5)), short(r.Stall.Quantile(0.99)), short(r.FirstToken.Quantile(0.95)),
			short(r.InterToken.Quantile(0.95)), short(r.InterToken.Quantile(0.99)), r.PreemptionRate(), r.Goodput,
			r.Completed, r.GivenUp, r.Failed, r.Refusals, 100*r.KeptRate(), r.Fairness)
	}
	return t.Flush()
}

// WriteCustomers writes the figures of each customer, one line a customer and
// policy.
func WriteCustomers(w io.Writer, results []Result) error {
	t := tabwriter.NewWriter(w, 0, 0, 2, ' ', tabwriter.AlignRight)
	fmt.Fprintln(t, "policy\tcustomer\trequests\tcompleted\tasked tokens\tgot tokens\tfair share\tstall p50\tstall p99\t")
	for _, r := range results {
		for _, c := range r.Customers {
			fmt.Fprintf(t, "%s\t%s\t%d\t%d\t%.0f\t%.0f\t%.2f\t%s\t%s\t\n",
				r.Policy, c.Customer, c.Requests, c.Completed, c.Asked, c.Got, c.Share,
				short(c.Stall.Quantile(0.5)), short(c.Stall.Quantile(0.99)))
		}
	}
	return t.Flush()
}

// short returns d with three or four digits.
func short(d time.Duration) string {
	switch {
	case d < 100*time.Millisecond:
		return d.Round(100 * time.Microsecond).String()
	case d < 10*time.Second:
		return d.Round(time.Millisecond).String()
	default:
		return d.Round(100 * time.Millisecond).String()
	}
}
