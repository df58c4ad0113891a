package comfreygateway

import (
	"encoding/json"
	"fmt"
	"strings"
)

// maxToolCalls bounds the tool calls of one choice.
const maxToolCalls = 128

// answerChoice assembles one choice.
type answerChoice struct {
	role         string
	text         strings.Builder
	toolCalls    []*answerToolCall
	logprobs     answerLogprobs
	finishReason json.RawMessage
}

// answerToolCall assembles one tool call, whose arguments arrive in parts.
type answerToolCall struct {
	ID        string
	Kind      string
	Name      string
	arguments strings.Builder
}

// add takes the part of one chunk.
func (c *answerChoice) add(d chunkChoice) error {
	c.text.WriteString(d.Text)
	c.text.WriteString(d.Delta.Content)
	if d.Delta.Role != "" {
		c.role = d.Delta.Role
	}
	if isStated(d.FinishReason) {
		c.finishReason = d.FinishReason
	}
	for _, t := range d.Delta.ToolCalls {
		if err := c.addToolCall(t); err != nil {
			return err
		}
	}
	return c.logprobs.add(d.Logprobs)
}

func (c *answerChoice) addToolCall(d chunkToolCall) error {
	if d.Index < 0 || d.Index >= maxToolCalls {
		return fmt.Errorf("comfreygateway: chunk: tool call index %d is out of range", d.Index)
	}
	for len(c.toolCalls) <= d.Index {
		c.toolCalls = append(c.toolCalls, &answerToolCall{Kind: "function"})
	}
	t := c.toolCalls[d.Index]
	if d.ID != "" {
		t.ID = d.ID
	}
	if d.Type != "" {
		t.Kind = d.Type
	}
	t.Name += d.Function.Name
	t.arguments.WriteString(d.Function.Arguments)
	return nil
}

// isStated reports whether an optional member is there and not null.
func isStated(m json.RawMessage) bool {
	return len(m) > 0 && string(m) != "null"
}

// answerLogprobs joins the lists of the chunks' logprobs member by member. The
// completion form and the chat form name the lists differently.
type answerLogprobs map[string][]json.RawMessage

// add takes the logprobs of one chunk. Members that are no lists are left out.
func (l *answerLogprobs) add(raw json.RawMessage) error {
	if !isStated(raw) {
		return nil
	}
	var m map[string]json.RawMessage
	if err := json.Unmarshal(raw, &m); err != nil {
		return fmt.Errorf("comfreygateway: chunk: logprobs: %w", err)
	}
	if *l == nil {
		*l = answerLogprobs{}
	}
	for k, v := range m {
		var s []json.RawMessage
		if json.Unmarshal(v, &s) == nil {
			(*l)[k] = append((*l)[k], s...)
		}
	}
	return nil
}

// wholeChoice is one choice of a whole answer.
type wholeChoice struct {
	Index        int             `json:"index"`
	Text         *string         `json:"text,omitempty"`
	Message      *wholeMessage   `json:"message,omitempty"`
	Logprobs     answerLogprobs  `json:"logprobs"`
	FinishReason json.RawMessage `json:"finish_reason"`
}

type wholeMessage struct {
	Role      string          `json:"role"`
	Content   *string         `json:"content"`
	ToolCalls []wholeToolCall `json:"tool_calls,omitempty"`
}

type wholeToolCall struct {
	ID       string        `json:"id"`
	Type     string        `json:"type"`
	Function wholeFunction `json:"function"`
}

type wholeFunction struct {
	Name      string `json:"name"`
	Arguments string `json:"arguments"`
}

// whole returns the choice with the given index, in the chat form or the
// completion form. A chat choice that only calls tools has no content.
func (c *answerChoice) whole(index int, chat bool) wholeChoice {
	w := wholeChoice{Index: index, FinishReason: c.finishReason, Logprobs: c.logprobs}
	if w.FinishReason == nil {
		w.FinishReason = json.RawMessage("null")
	}
	text := c.text.String()
	if !chat {
		w.Text = &text
		return w
	}
	w.Message = &wholeMessage{Role: c.role, Content: &text}
	if len(c.toolCalls) > 0 && text == "" {
		w.Message.Content = nil
	}
	for _, t := range c.toolCalls {
		w.Message.ToolCalls = append(w.Message.ToolCalls, wholeToolCall{
			ID: t.ID, Type: t.Kind, Function: wholeFunction{Name: t.Name, Arguments: t.arguments.String()},
		})
	}
	return w
}
