package comfreygateway_test

import (
	"strings"
	"testing"

	"comfreyridge.example/comfreyridge/comfreygateway"
)

func TestResponseAssembler(t *testing.T) {
	cases := map[string]struct {
		chat   bool
		chunks []string
		want   string
	}{
		"completion": {false, []string{
			`{"id":"a","object":"text_completion","choices":[{"index":0,"text":"Blue ","finish_reason":null}]}`,
			`{"id":"a","choices":[{"index":0,"text":"stone","finish_reason":null}]}`,
			`{"id":"a","choices":[{"index":0,"text":"","finish_reason":"length"}],"usage":{"total_tokens":5}}`,
		}, `{"choices":[{"index":0,"text":"Blue stone","logprobs":null,"finish_reason":"length"}],"id":"a","object":"text_completion","usage":{"total_tokens":5}}`},
		"chat": {true, []string{
			`{"id":"a","choices":[{"index":0,"delta":{"role":"assistant","content":"Door"}}]}`,
			`{"id":"a","choices":[{"index":0,"delta":{"content":" seal"},"finish_reason":null}],"usage":null}`,
			`{"id":"a","choices":[{"index":0,"delta":{},"finish_reason":"stop"}]}`,
			`{"id":"a","choices":[],"usage":{"total_tokens":2}}`,
		}, `{"choices":[{"index":0,"message":{"role":"assistant","content":"Door seal"},"logprobs":null,"finish_reason":"stop"}],"id":"a","object":"chat.completion","usage":{"total_tokens":2}}`},
		"several-choices": {false, []string{
			`{"choices":[{"index":1,"text":"b"}]}`,
			`{"choices":[{"index":0,"text":"a"},{"index":1,"text":"B","finish_reason":"stop"}]}`,
		}, `{"choices":[{"index":0,"text":"a","logprobs":null,"finish_reason":null},{"index":1,"text":"bB","logprobs":null,"finish_reason":"stop"}],"object":"text_completion"}`},
		"tool-calls": {true, []string{
			`{"choices":[{"index":0,"delta":{"role":"assistant","content":null,"tool_calls":[{"index":0,"id":"c0","type":"function","function":{"name":"cut","arguments":""}}]}}]}`,
			`{"choices":[{"index":0,"delta":{"tool_calls":[{"index":0,"function":{"arguments":"{\"mm\":"}},{"index":1,"id":"c1","type":"function","function":{"name":"book","arguments":"{}"}}]}}]}`,
			`{"choices":[{"index":0,"delta":{"tool_calls":[{"index":0,"function":{"arguments":"20}"}}]},"finish_reason":"tool_calls"}]}`,
		}, `{"choices":[{"index":0,"message":{"role":"assistant","content":null,"tool_calls":[{"id":"c0","type":"function","function":{"name":"cut","arguments":"{\"mm\":20}"}},{"id":"c1","type":"function","function":{"name":"book","arguments":"{}"}}]},"logprobs":null,"finish_reason":"tool_calls"}],"object":"chat.completion"}`},
		"logprobs": {true, []string{
			`{"choices":[{"index":0,"delta":{"content":"a"},"logprobs":{"content":[{"token":"a","logprob":-0.1}]}}]}`,
			`{"choices":[{"index":0,"delta":{"content":"b"},"logprobs":{"content":[{"token":"b","logprob":-0.2}],"refusal":null}}]}`,
		}, `{"choices":[{"index":0,"message":{"role":"assistant","content":"ab"},"logprobs":{"content":[{"token":"a","logprob":-0.1},{"token":"b","logprob":-0.2}],"refusal":null},"finish_reason":null}],"object":"chat.completion"}`},
	}
	for name, x := range cases {
		t.Run(name, func(t *testing.T) {
			a := comfreygateway.NewResponseAssembler(x.chat)
			for _, c := range x.chunks {
				if err := a.Add([]byte(c)); err != nil {
					t.Fatal(err)
				}
			}
			b, err := a.Body()
			if err != nil || string(b) != x.want {
				t.Errorf("got  %s\nwant %s\n%v", b, x.want, err)
			}
		})
	}
}

func TestResponseAssemblerRefusesInvalidChunks(t *testing.T) {
	for _, c := range []string{
		``, `[]`, `{"choices":{}}`, `{"choices":[{"index":-1}]}`, `{"choices":[{"index":1000}]}`, `{"choices":[{"index":0,"logprobs":3}]}`,
		`{"choices":[{"index":0,"delta":{"tool_calls":[{"index":-1}]}}]}`, `{"choices":[{"index":0,"delta":{"tool_calls":[{"index":1000}]}}]}`,
	} {
		err := comfreygateway.NewResponseAssembler(true).Add([]byte(c))
		if err == nil || !strings.HasPrefix(err.Error(), "comfreygateway: chunk: ") {
			t.Errorf("%s: got %v", c, err)
		}
	}
}
