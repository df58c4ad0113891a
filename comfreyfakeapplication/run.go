package comfreyfakeapplication

import (
	"context"
	"io"
	"time"

	"comfreyridge.example/comfreyridge/comfreyfakeserver"
)

// Options are the command line's settings of an application stand-in.
type Options struct {
	Listen    string        `arg:"--listen,env:COMFREY_FAKE_APPLICATION_LISTEN" default:"127.0.0.1:0" help:"address to listen on"`
	OrderTime time.Duration `arg:"--order-time,env:COMFREY_FAKE_APPLICATION_ORDER_TIME" default:"20ms" help:"time that an order takes"`
}

// Run serves an application stand-in until ctx ends. It writes the address
// that it listens on to w.
func Run(ctx context.Context, o Options, w io.Writer) error {
	return comfreyfakeserver.Serve(ctx, o.Listen, w, func(string) comfreyfakeserver.Server {
		return comfreyfakeserver.Server{Handler: New(Config{OrderTime: o.OrderTime})}
	})
}
