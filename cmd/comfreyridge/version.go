package main

import "runtime/debug"

// version returns the module's version and the revision it was built from.
func version() string {
	b, ok := debug.ReadBuildInfo()
	if !ok {
		return "comfreyridge unknown"
	}
	v := "comfreyridge " + b.Main.Version + " " + b.GoVersion
	for _, s := range b.Settings {
		if s.Key == "vcs.revision" {
			v += " " + s.Value
		}
	}
	return v
}
