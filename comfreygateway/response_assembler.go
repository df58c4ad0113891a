package comfreygateway

import (
	"encoding/json"
	"fmt"
)

// chunk holds the members of an engine's stream chunk that are assembled into a
// unary response. Other members are copied from the first chunk.
type chunk struct {
	Choices []chunkChoice `json:"choices"`
}

type chunkChoice struct {
	Index        int             `json:"index"`
	Text         string          `json:"text"`
	Delta        chunkDelta      `json:"delta"`
	Logprobs     json.RawMessage `json:"logprobs"`
	FinishReason json.RawMessage `json:"finish_reason"`
}

type chunkDelta struct {
	Role      string          `json:"role"`
	Content   string          `json:"content"`
	ToolCalls []chunkToolCall `json:"tool_calls"`
}

// chunkToolCall is a part of one tool call. The first part has the id and the
// name.
type chunkToolCall struct {
	Index    int    `json:"index"`
	ID       string `json:"id"`
	Type     string `json:"type"`
	Function struct {
		Name      string `json:"name"`
		Arguments string `json:"arguments"`
	} `json:"function"`
}

// ResponseAssembler assembles the chunks of one generation into the body of a
// unary response. The zero value is not usable. It is not safe for concurrent
// use.
type ResponseAssembler struct {
	chat       bool
	choices    []*choiceAssembler
	usage      json.RawMessage
	firstChunk map[string]json.RawMessage
}

// NewResponseAssembler returns an empty assembler for the chat form or the
// completion form.
func NewResponseAssembler(chat bool) *ResponseAssembler {
	return &ResponseAssembler{chat: chat}
}

// Add adds one chunk. It returns an error if the chunk is not an OpenAI-style
// object.
func (a *ResponseAssembler) Add(data []byte) error {
	var c chunk
	if err := json.Unmarshal(data, &c); err != nil {
		return fmt.Errorf("comfreygateway: chunk: %w", err)
	}
	var top map[string]json.RawMessage
	if err := json.Unmarshal(data, &top); err != nil {
		return fmt.Errorf("comfreygateway: chunk: %w", err)
	}
	if a.firstChunk == nil {
		a.firstChunk = top
	}
	if u, ok := top["usage"]; ok && string(u) != "null" {
		a.usage = u
	}
	for _, d := range c.Choices {
		if err := a.addChoice(d); err != nil {
			return err
		}
	}
	return nil
}

// maxChoices bounds the choices of one response.
const maxChoices = 128

func (a *ResponseAssembler) addChoice(d chunkChoice) error {
	if d.Index < 0 || d.Index >= maxChoices {
		return fmt.Errorf("comfreygateway: chunk: choice index %d is out of range", d.Index)
	}
	for len(a.choices) <= d.Index {
		a.choices = append(a.choices, &choiceAssembler{role: "assistant"})
	}
	return a.choices[d.Index].add(d)
}

// Body returns the response as one JSON object.
func (a *ResponseAssembler) Body() ([]byte, error) {
	choices := make([]unaryChoice, 0, len(a.choices))
	for i, c := range a.choices {
		choices = append(choices, c.unary(i, a.chat))
	}
	raw, err := json.Marshal(choices)
	if err != nil {
		return nil, fmt.Errorf("comfreygateway: answer: %w", err)
	}
	body := map[string]json.RawMessage{}
	for k, v := range a.firstChunk {
		body[k] = v
	}
	body["choices"] = raw
	delete(body, "usage")
	if a.usage != nil {
		body["usage"] = a.usage
	}
	body["object"] = json.RawMessage(`"text_completion"`)
	if a.chat {
		body["object"] = json.RawMessage(`"chat.completion"`)
	}
	return json.Marshal(body)
}
