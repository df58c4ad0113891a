package main

import (
	"fmt"
	"net/http"
	"os"
	"strconv"
	"strings"
	"testing"
	"time"

	"github.com/rogpeppe/go-internal/testscript"
)

// ports is how many free ports a script gets, as $PORT0 and on.
const ports = 12

// waitLimit bounds how long a script waits for a process.
const waitLimit = 60 * time.Second

func TestMain(m *testing.M) {
	testscript.Main(m, map[string]func(){"comfreyridge": main})
}

func TestScripts(t *testing.T) {
	testscript.Run(t, testscript.Params{
		Dir: "testdata",
		Setup: func(e *testscript.Env) error {
			e.Setenv("EXAMPLES", examples(t))
			return setPorts(e)
		},
		Cmds: map[string]func(s *testscript.TestScript, neg bool, args []string){
			"waithttp": waitHTTP,
			"expand":   expand,
		},
	})
}

func examples(t *testing.T) string {
	d, err := os.Getwd()
	if err != nil {
		t.Fatal(err)
	}
	return strings.TrimSuffix(d, "/cmd/comfreyridge") + "/examples"
}

// setPorts finds free loopback ports.
func setPorts(e *testscript.Env) error {
	for i := range ports {
		p, err := freePort()
		if err != nil {
			return err
		}
		e.Setenv(fmt.Sprintf("PORT%d", i), strconv.Itoa(p))
	}
	return nil
}

// waitHTTP waits until a URL answers with status 200.
func waitHTTP(s *testscript.TestScript, _ bool, args []string) {
	deadline := time.Now().Add(waitLimit)
	for time.Now().Before(deadline) {
		resp, err := http.Get(args[0])
		if err == nil {
			_ = resp.Body.Close()
			if resp.StatusCode == http.StatusOK {
				return
			}
		}
		time.Sleep(20 * time.Millisecond)
	}
	s.Fatalf("%s did not answer", args[0])
}

// expand replaces variables of the script in a file.
func expand(s *testscript.TestScript, _ bool, args []string) {
	b := os.Expand(s.ReadFile(args[0]), s.Getenv)
	s.Check(os.WriteFile(s.MkAbs(args[0]), []byte(b), 0o644))
}
