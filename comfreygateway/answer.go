package comfreygateway

import (
	"encoding/json"
	"fmt"
)

// chunk holds the members of an engine's stream chunk that a whole answer is
// made of. Other members of the last chunk are passed through.
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

// chunkToolCall is a part of one tool call. The first part carries its id and
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

// ResponseAssembler assembles the chunks of one generation into the body of a call that
// does not stream. The zero value is not usable; it is not safe for concurrent
// use.
type ResponseAssembler struct {
	chat    bool
	choices []*answerChoice
	usage   json.RawMessage
	first   map[string]json.RawMessage
}

// NewResponseAssembler returns an empty answer in the chat form or the completion form.
func NewResponseAssembler(chat bool) *ResponseAssembler {
	return &ResponseAssembler{chat: chat}
}

// Add appends one chunk. It returns an error for a chunk that is not an
// OpenAI-style object.
func (a *ResponseAssembler) Add(data []byte) error {
	var c chunk
	if err := json.Unmarshal(data, &c); err != nil {
		return fmt.Errorf("comfreygateway: chunk: %w", err)
	}
	var top map[string]json.RawMessage
	if err := json.Unmarshal(data, &top); err != nil {
		return fmt.Errorf("comfreygateway: chunk: %w", err)
	}
	if a.first == nil {
		a.first = top
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

// maxChoices bounds the parallel choices of one answer.
const maxChoices = 128

func (a *ResponseAssembler) addChoice(d chunkChoice) error {
	if d.Index < 0 || d.Index >= maxChoices {
		return fmt.Errorf("comfreygateway: chunk: choice index %d is out of range", d.Index)
	}
	for len(a.choices) <= d.Index {
		a.choices = append(a.choices, &answerChoice{role: "assistant"})
	}
	return a.choices[d.Index].add(d)
}

// Body returns the answer as one JSON object.
func (a *ResponseAssembler) Body() ([]byte, error) {
	choices := make([]wholeChoice, 0, len(a.choices))
	for i, c := range a.choices {
		choices = append(choices, c.whole(i, a.chat))
	}
	raw, err := json.Marshal(choices)
	if err != nil {
		return nil, fmt.Errorf("comfreygateway: answer: %w", err)
	}
	body := map[string]json.RawMessage{}
	for k, v := range a.first {
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
