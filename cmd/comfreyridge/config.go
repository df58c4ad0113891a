package main

import (
	"fmt"
	"io"
	"io/fs"
	"os"
	"path/filepath"

	"comfreyridge.example/comfreyridge/comfreyconfig"
	"comfreyridge.example/comfreyridge/platform"
)

// configCommand holds the commands on configuration folders.
type configCommand struct {
	Check  *folderArguments `arg:"subcommand:check" help:"name every fault of a folder, with file, line and mend"`
	Show   *folderArguments `arg:"subcommand:show" help:"print the merged result with the file that set each value"`
	Diff   *diffArguments   `arg:"subcommand:diff" help:"compare the merged results of two folders"`
	Review *reviewArguments `arg:"subcommand:review" help:"check a configuration of the users' platform before it is sent"`
	Pack   *packArguments   `arg:"subcommand:pack" help:"write the values that the platform has to publish for a folder"`
}

type folderArguments struct {
	Folder string `arg:"positional,required" help:"folder of YAML files"`
}

type reviewArguments struct {
	File    string `arg:"positional,required" help:"JSON file with the configuration"`
	InForce string `arg:"--in-force" help:"JSON file with the configuration in force, to compare with"`
}

type packArguments struct {
	Folder string `arg:"positional,required" help:"folder of YAML files"`
	Number uint64 `arg:"--number,required" help:"number of the revision; above every earlier one"`
	Out    string `arg:"--out,required" help:"folder that receives one file for each value, named after its key"`
}

type diffArguments struct {
	Before string `arg:"positional,required" help:"folder of YAML files"`
	After  string `arg:"positional,required" help:"folder of YAML files"`
}

// packedFileMode lets everybody read the packed values, which hold no secret.
const packedFileMode = 0o644

func (c configCommand) run(stdout, stderr io.Writer) int {
	switch {
	case c.Check != nil:
		return withFolders(stderr, func(s []fs.FS) int { return comfreyconfig.RunCheck(stdout, s[0]) }, c.Check.Folder)
	case c.Show != nil:
		return withFolders(stderr, func(s []fs.FS) int { return comfreyconfig.RunShow(stdout, s[0]) }, c.Show.Folder)
	case c.Diff != nil:
		return withFolders(stderr, func(s []fs.FS) int { return comfreyconfig.RunDiff(stdout, s[0], s[1]) }, c.Diff.Before, c.Diff.After)
	case c.Review != nil:
		return c.Review.run(stdout, stderr)
	case c.Pack != nil:
		return withFolders(stderr, func(s []fs.FS) int {
			return comfreyconfig.RunPack(stdout, s[0], c.Pack.Number, func(key string, b []byte) error {
				return os.WriteFile(filepath.Join(c.Pack.Out, key), b, packedFileMode)
			})
		}, c.Pack.Folder, c.Pack.Out)
	default:
		fmt.Fprintln(stderr, "comfreyridge config: one of check, show, diff, review, pack is needed")
		return exitUsage
	}
}

// run prints the review. A configuration that must not be sent is a failure.
func (r reviewArguments) run(stdout, stderr io.Writer) int {
	value, err := os.ReadFile(r.File)
	var inForce []byte
	if err == nil && r.InForce != "" {
		inForce, err = os.ReadFile(r.InForce)
	}
	if err != nil {
		fmt.Fprintf(stderr, "comfreyridge config review: %v\n", err)
		return exitUsage
	}
	ok, err := platform.WriteReview(stdout, r.File, value, r.InForce, inForce)
	switch {
	case err != nil:
		fmt.Fprintln(stderr, err)
		return exitFailed
	case !ok:
		fmt.Fprintf(stderr, "%s must not be sent\n", r.File)
		return exitFailed
	default:
		fmt.Fprintf(stdout, "%s can be sent\n", r.File)
		return exitOK
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
