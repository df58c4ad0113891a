package comfreyengine_test

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net/http/httptest"

	"comfreyridge.example/comfreyridge/comfreyengine"
	"comfreyridge.example/comfreyridge/comfreyfakeengine"
)

func ExampleClient_Start() {
	e := comfreyfakeengine.New(comfreyfakeengine.Config{})
	defer e.Close()
	v := httptest.NewServer(e)
	defer v.Close()
	c := comfreyengine.New(comfreyengine.Config{BaseURL: v.URL})
	defer c.Close()

	s, err := c.Start(context.Background(), comfreyengine.Request{
		ID:   "request-1",
		Path: "/v1/completions",
		Body: []byte(`{"model":"template-1","prompt":"a worktop of 2.4 m","fake_length":3}`),
	})
	if err != nil {
		fmt.Println(err)
		return
	}
	for {
		k, err := s.Next()
		if errors.Is(err, io.EOF) {
			break
		}
		if err != nil {
			fmt.Println(err)
			return
		}
		fmt.Println(k.Tokens, k.Finish)
	}
	fmt.Println(s.PromptTokens(), s.Tokens())
	// Output:
	// 1 false
	// 1 false
	// 1 false
	// 0 true
	// 5 3
}
