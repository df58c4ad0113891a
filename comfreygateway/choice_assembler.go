package comfreygateway

import (
	"encoding/json"
	"fmt"
	"strings"
)

// maxToolCalls bounds the tool calls of one choice.
const maxToolCalls = 128

// choiceAssembler assembles one choice of a response.
type choiceAssembler struct {
	role         string
	text         strings.Builder
	toolCalls    []*toolCallAssembler
	logprobs     choiceLogprobs
	finishReason json.RawMessage
}

// toolCallAssembler assembles one tool call, whose arguments arrive in parts.
type toolCallAssembler struct {
	ID        string
	Kind      string
	Name      string
	arguments strings.Builder
}

// add adds the delta of one chunk.
func (c *choiceAssembler) add(d chunkChoice) error {
	c.text.WriteString(d.Text)
	c.text.WriteString(d.Delta.Content)
	if d.Delta.Role != "" {
		c.role = d.Delta.Role
	}
	if isSet(d.FinishReason) {
		c.finishReason = d.FinishReason
	}
	for _, t := range d.Delta.ToolCalls {
		if err := c.addToolCall(t); err != nil {
			return err
		}
	}
	return c.logprobs.add(d.Logprobs)
}

func (c *choiceAssembler) addToolCall(d chunkToolCall) error {
	if d.Index < 0 || d.Index >= maxToolCalls {
		return fmt.Errorf("comfreygateway: chunk: tool call index %d is out of range", d.Index)
	}
	for len(c.toolCalls) <= d.Index {
		c.toolCalls = append(c.toolCalls, &toolCallAssembler{Kind: "function"})
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

// isSet reports whether an optional member is present and not null.
func isSet(m json.RawMessage) bool {
	return len(m) > 0 && string(m) != "null"
}

// choiceLogprobs concatenates the lists in the logprobs of the chunks, member
// by member. The completion form and the chat form use different member names.
type choiceLogprobs map[string][]json.RawMessage

// add adds the logprobs of one chunk. Members that are not lists are dropped.
func (l *choiceLogprobs) add(raw json.RawMessage) error {
	if !isSet(raw) {
		return nil
	}
	var m map[string]json.RawMessage
	if err := json.Unmarshal(raw, &m); err != nil {
		return fmt.Errorf("comfreygateway: chunk: logprobs: %w", err)
	}
	if *l == nil {
		*l = choiceLogprobs{}
	}
	for k, v := range m {
		var s []json.RawMessage
		if json.Unmarshal(v, &s) == nil {
			(*l)[k] = append((*l)[k], s...)
		}
	}
	return nil
}

// unaryChoice is one choice of a unary response.
type unaryChoice struct {
	Index        int             `json:"index"`
	Text         *string         `json:"text,omitempty"`
	Message      *unaryMessage   `json:"message,omitempty"`
	Logprobs     choiceLogprobs  `json:"logprobs"`
	FinishReason json.RawMessage `json:"finish_reason"`
}

type unaryMessage struct {
	Role      string          `json:"role"`
	Content   *string         `json:"content"`
	ToolCalls []unaryToolCall `json:"tool_calls,omitempty"`
}

type unaryToolCall struct {
	ID       string        `json:"id"`
	Type     string        `json:"type"`
	Function unaryFunction `json:"function"`
}

type unaryFunction struct {
	Name      string `json:"name"`
	Arguments string `json:"arguments"`
}

// unary returns the choice with the given index, in the chat form or the
// completion form. A chat choice that only calls tools has null content.
func (c *choiceAssembler) unary(index int, chat bool) unaryChoice {
	w := unaryChoice{Index: index, FinishReason: c.finishReason, Logprobs: c.logprobs}
	if w.FinishReason == nil {
		w.FinishReason = json.RawMessage("null")
	}
	text := c.text.String()
	if !chat {
		w.Text = &text
		return w
	}
	w.Message = &unaryMessage{Role: c.role, Content: &text}
	if len(c.toolCalls) > 0 && text == "" {
		w.Message.Content = nil
	}
	for _, t := range c.toolCalls {
		w.Message.ToolCalls = append(w.Message.ToolCalls, unaryToolCall{
			ID: t.ID, Type: t.Kind, Function: unaryFunction{Name: t.Name, Arguments: t.arguments.String()},
		})
	}
	return w
}
