package comfreygateway

import (
	"encoding/json"
	"fmt"
	"strings"
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
	FinishReason json.RawMessage `json:"finish_reason"`
}

type chunkDelta struct {
	Role    string `json:"role"`
	Content string `json:"content"`
}

// Answer assembles the chunks of one generation into the body of a call that
// does not stream. The zero value is not usable; it is not safe for concurrent
// use.
type Answer struct {
	chat    bool
	choices []*answerChoice
	usage   json.RawMessage
	first   map[string]json.RawMessage
}

type answerChoice struct {
	role         string
	text         strings.Builder
	finishReason json.RawMessage
}

// NewAnswer returns an empty answer in the chat form or the completion form.
func NewAnswer(chat bool) *Answer {
	return &Answer{chat: chat}
}

// Add appends one chunk. It returns an error for a chunk that is not an
// OpenAI-style object.
func (a *Answer) Add(data []byte) error {
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

func (a *Answer) addChoice(d chunkChoice) error {
	if d.Index < 0 || d.Index >= maxChoices {
		return fmt.Errorf("comfreygateway: chunk: choice index %d is out of range", d.Index)
	}
	for len(a.choices) <= d.Index {
		a.choices = append(a.choices, &answerChoice{role: "assistant"})
	}
	c := a.choices[d.Index]
	c.text.WriteString(d.Text)
	c.text.WriteString(d.Delta.Content)
	if d.Delta.Role != "" {
		c.role = d.Delta.Role
	}
	if len(d.FinishReason) > 0 && string(d.FinishReason) != "null" {
		c.finishReason = d.FinishReason
	}
	return nil
}

// wholeChoice is one choice of a whole answer.
type wholeChoice struct {
	Index        int             `json:"index"`
	Text         *string         `json:"text,omitempty"`
	Message      *wholeMessage   `json:"message,omitempty"`
	FinishReason json.RawMessage `json:"finish_reason"`
}

type wholeMessage struct {
	Role    string `json:"role"`
	Content string `json:"content"`
}

// Body returns the answer as one JSON object.
func (a *Answer) Body() ([]byte, error) {
	choices := make([]wholeChoice, 0, len(a.choices))
	for i, c := range a.choices {
		choices = append(choices, a.whole(i, c))
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

func (a *Answer) whole(i int, c *answerChoice) wholeChoice {
	w := wholeChoice{Index: i, FinishReason: c.finishReason}
	if w.FinishReason == nil {
		w.FinishReason = json.RawMessage("null")
	}
	text := c.text.String()
	if a.chat {
		w.Message = &wholeMessage{Role: c.role, Content: text}
		return w
	}
	w.Text = &text
	return w
}
