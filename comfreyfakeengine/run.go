package comfreyfakeengine

import (
	"context"
	"io"
	"time"

	"comfreyridge.example/comfreyridge/comfreyfakeserver"
)

// Options are the command line's settings of an engine stand-in.
type Options struct {
	Listen         string        `arg:"--listen,env:COMFREY_FAKE_ENGINE_LISTEN" default:"127.0.0.1:0" help:"address to listen on"`
	Name           string        `arg:"--name,env:COMFREY_FAKE_ENGINE_NAME" help:"name that tells engines apart; the default is the address"`
	Seed           uint64        `arg:"--seed,env:COMFREY_FAKE_ENGINE_SEED" help:"seed of the answer lengths"`
	Model          string        `arg:"--model,env:COMFREY_FAKE_ENGINE_MODEL" default:"template-1" help:"model that is loaded at the start"`
	StepTime       time.Duration `arg:"--step-time,env:COMFREY_FAKE_ENGINE_STEP_TIME" default:"20ms" help:"time of one step of an empty batch"`
	SequenceTime   time.Duration `arg:"--sequence-time,env:COMFREY_FAKE_ENGINE_SEQUENCE_TIME" default:"50us" help:"time added for each running generation"`
	CapacityTokens int           `arg:"--capacity-tokens,env:COMFREY_FAKE_ENGINE_CAPACITY_TOKENS" default:"100000" help:"token memory"`
	MedianTokens   int           `arg:"--median-tokens,env:COMFREY_FAKE_ENGINE_MEDIAN_TOKENS" default:"200" help:"median answer length"`
	LoadLag        time.Duration `arg:"--load-lag,env:COMFREY_FAKE_ENGINE_LOAD_LAG" default:"1s" help:"age of load reports and cache events"`
	LoadTime       time.Duration `arg:"--load-time,env:COMFREY_FAKE_ENGINE_LOAD_TIME" default:"2s" help:"time that an order takes"`
	IgnoreFencing  bool          `arg:"--ignore-fencing,env:COMFREY_FAKE_ENGINE_IGNORE_FENCING" help:"obey orders with old fencing numbers"`
}

// config returns the settings of the engine at the given address.
func (o Options) config(address string) Config {
	c := Config{
		Name:           o.Name,
		Seed:           o.Seed,
		Model:          o.Model,
		StepTime:       o.StepTime,
		SequenceTime:   o.SequenceTime,
		CapacityTokens: o.CapacityTokens,
		MedianTokens:   o.MedianTokens,
		LoadLag:        o.LoadLag,
		LoadTime:       o.LoadTime,
	}
	if c.Name == "" {
		c.Name = address
	}
	if o.IgnoreFencing {
		c.Fencing = FencingIgnored
	}
	return c
}

// Run serves an engine stand-in until ctx ends. It writes the address that it
// listens on to w.
func Run(ctx context.Context, o Options, w io.Writer) error {
	return comfreyfakeserver.Serve(ctx, o.Listen, w, func(address string) comfreyfakeserver.Server {
		e := New(o.config(address))
		return comfreyfakeserver.Server{Handler: e, Close: e.Close}
	})
}
