package comfreyfakeengine_test

import (
	"bufio"
	"context"
	"errors"
	"io"
	"strings"
	"testing"

	"comfreyridge.example/comfreyridge/comfreyengine"
	"comfreyridge.example/comfreyridge/comfreyfakeengine"
)

func TestRunServesUntilItsContextEnds(t *testing.T) {
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	r, w := io.Pipe()
	done := make(chan error, 1)
	go func() { done <- comfreyfakeengine.Run(ctx, comfreyfakeengine.Options{Listen: "127.0.0.1:0"}, w) }()
	line, err := bufio.NewReader(r).ReadString('\n')
	if err != nil {
		t.Fatal(err)
	}
	address := strings.TrimSpace(strings.TrimPrefix(line, "listening="))
	c := comfreyengine.New(comfreyengine.Config{BaseURL: "http://" + address})
	defer c.Close()
	s := start(t, c, request("r", 5))
	if err := read(t, s); !errors.Is(err, io.EOF) {
		t.Error(err)
	}
	cancel()
	if err := <-done; err != nil {
		t.Error(err)
	}
}
