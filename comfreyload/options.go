package comfreyload

import (
	"errors"
	"fmt"
	"net/netip"
	"net/url"
	"time"
)

// Options are the settings of a load run.
type Options struct {
	Gateways  []string      `arg:"positional,required" help:"URLs of gateways, by loopback IP number; callers take them in turn"`
	Key       string        `arg:"--key,required,env:COMFREY_LOAD_KEY" help:"the customer's bearer key"`
	Service   string        `arg:"--service,required,env:COMFREY_LOAD_SERVICE" help:"generation service to call"`
	Callers   int           `arg:"--callers,env:COMFREY_LOAD_CALLERS" default:"10" help:"concurrent callers, from 1 to 10000"`
	Requests  int           `arg:"--requests,env:COMFREY_LOAD_REQUESTS" help:"requests of all callers together; 0 sends until the time is over"`
	Time      time.Duration `arg:"--time,env:COMFREY_LOAD_TIME" default:"10s" help:"time after which no request is begun; 0 for no limit"`
	MaxTokens int           `arg:"--max-tokens,env:COMFREY_LOAD_MAX_TOKENS" help:"longest answer in tokens; 0 leaves it to the engine"`
	Prompt    string        `arg:"--prompt,env:COMFREY_LOAD_PROMPT" default:"a quotation for a stone worktop" help:"prompt, followed by a number for each request"`
}

// maxCallers bounds the callers of one run.
const maxCallers = 10_000

// check returns all faults of o together.
func (o Options) check() error {
	var errs []error
	if len(o.Gateways) == 0 {
		errs = append(errs, errors.New("comfreyload: no gateway"))
	}
	for _, g := range o.Gateways {
		errs = append(errs, checkLoopback(g))
	}
	if o.Callers < 1 || o.Callers > maxCallers {
		errs = append(errs, fmt.Errorf("comfreyload: callers must be from 1 to %d, not %d", maxCallers, o.Callers))
	}
	if o.Requests < 0 || o.Time < 0 || o.MaxTokens < 0 {
		errs = append(errs, errors.New("comfreyload: requests, time and max-tokens must not be negative"))
	}
	if o.Requests == 0 && o.Time == 0 {
		errs = append(errs, errors.New("comfreyload: a run needs a count of requests or a time"))
	}
	return errors.Join(errs...)
}

// checkLoopback returns an error unless the host of a URL is a loopback IP
// number.
func checkLoopback(gateway string) error {
	u, err := url.Parse(gateway)
	if err != nil || u.Scheme != "http" {
		return fmt.Errorf("comfreyload: %q is not an http URL", gateway)
	}
	a, err := netip.ParseAddr(u.Hostname())
	if err != nil || !a.IsLoopback() {
		return fmt.Errorf("comfreyload: %q is not a loopback address", gateway)
	}
	return nil
}
