package main

import (
	"fmt"
	"io"
	"io/fs"
	"os"

	"comfreyridge.example/comfreyridge/comfreyconfig"
)

// configCommand holds the commands on configuration folders.
type configCommand struct {
	Check *folderArguments `arg:"subcommand:check" help:"name every fault of a folder, with file, line and mend"`
	Show  *folderArguments `arg:"subcommand:show" help:"print the merged result with the file that set each value"`
	Diff  *diffArguments   `arg:"subcommand:diff" help:"compare the merged results of two folders"`
}

type folderArguments struct {
	Folder string `arg:"positional,required" help:"folder of YAML files"`
}

type diffArguments struct {
	Before string `arg:"positional,required" help:"folder of YAML files"`
	After  string `arg:"positional,required" help:"folder of YAML files"`
}

func (c configCommand) run(stdout, stderr io.Writer) int {
	switch {
	case c.Check != nil:
		return withFolders(stderr, func(s []fs.FS) int { return comfreyconfig.RunCheck(stdout, s[0]) }, c.Check.Folder)
	case c.Show != nil:
		return withFolders(stderr, func(s []fs.FS) int { return comfreyconfig.RunShow(stdout, s[0]) }, c.Show.Folder)
	case c.Diff != nil:
		return withFolders(stderr, func(s []fs.FS) int { return comfreyconfig.RunDiff(stdout, s[0], s[1]) }, c.Diff.Before, c.Diff.After)
	default:
		fmt.Fprintln(stderr, "comfreyridge config: one of check, show, diff is needed")
		return exitUsage
	}
}

// withFolders opens folders for f; one that is none is a usage error.
func withFolders(stderr io.Writer, f func(s []fs.FS) int, names ...string) int {
	var s []fs.FS
	for _, n := range names {
		i, err := os.Stat(n)
		if err != nil || !i.IsDir() {
			fmt.Fprintf(stderr, "comfreyridge config: %s is not a folder that can be read\n", n)
			return exitUsage
		}
		s = append(s, os.DirFS(n))
	}
	return f(s)
}
