package main

import (
	"context"
	"fmt"
	"io"
	"time"

	"comfreyridge.example/comfreyridge/comfreyfakeapplication"
	"comfreyridge.example/comfreyridge/comfreyfakeengine"
	"comfreyridge.example/comfreyridge/comfreyfakeplatform"
)

// fakeCommand holds the stand-ins.
type fakeCommand struct {
	Platform    *platformArguments              `arg:"subcommand:platform" help:"serve a folder and a host list as the platform does"`
	Engine      *comfreyfakeengine.Options      `arg:"subcommand:engine" help:"serve generations"`
	Application *comfreyfakeapplication.Options `arg:"subcommand:application" help:"serve orders, and count their runs"`
}

type platformArguments struct {
	Listen string        `arg:"--listen" default:"127.0.0.1:0" help:"address to listen on"`
	Folder string        `arg:"--folder,required" help:"configuration folder; changes are published"`
	Hosts  string        `arg:"--hosts" help:"JSON file with the host list; changes are published"`
	Lag    time.Duration `arg:"--lag" default:"1s" help:"lag of the host list"`
}

func (c fakeCommand) run(ctx context.Context, stdout, stderr io.Writer) int {
	switch {
	case c.Platform != nil:
		return report(comfreyfakeplatform.Run(ctx, comfreyfakeplatform.RunConfig{
			Listen:    c.Platform.Listen,
			Folder:    c.Platform.Folder,
			HostsFile: c.Platform.Hosts,
			Lag:       c.Platform.Lag,
			Ready:     func(address string) { fmt.Fprintf(stdout, "listening=%s\n", address) },
		}), stderr)
	case c.Engine != nil:
		return report(comfreyfakeengine.Run(ctx, *c.Engine, stdout), stderr)
	case c.Application != nil:
		return report(comfreyfakeapplication.Run(ctx, *c.Application, stdout), stderr)
	default:
		fmt.Fprintln(stderr, "comfreyridge fake: one of platform, engine, application is needed")
		return exitUsage
	}
}
