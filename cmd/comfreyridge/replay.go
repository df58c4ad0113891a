package main

import (
	"io"
	"slices"

	"comfreyridge.example/comfreyridge/comfreyreplay"
)

// isGenerate reports whether a command line is "replay generate". It has a
// parser of its own, because a flag such as --seed stands in both commands.
func isGenerate(args []string) bool {
	return len(args) > 1 && slices.Equal(args[:2], []string{"replay", "generate"})
}

// runGenerate executes "replay generate" with the arguments behind it.
func runGenerate(args []string, stdout, stderr io.Writer) int {
	var c comfreyreplay.GenerateCommand
	if code, ok := parse("comfreyridge replay generate", &c, args, stdout, stderr); !ok {
		return code
	}
	return comfreyreplay.RunGenerate(stdout, c)
}
