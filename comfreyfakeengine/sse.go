package comfreyfakeengine

import "strconv"

// done is the last event of a complete stream.
const done = "data: [DONE]\n\n"

// appendEvent appends the event of token index.
func appendEvent(b []byte, g *generation, index int) []byte {
	b = appendHead(b, g)
	if g.chat {
		b = append(b, `"delta":{"content":"`...)
	} else {
		b = append(b, `"text":"`...)
	}
	b = appendToken(b, g.mark, index)
	if g.chat {
		b = append(b, `"}`...)
	} else {
		b = append(b, '"')
	}
	return append(b, `,"logprobs":null,"finish_reason":null}]}`+"\n\n"...)
}

// appendFinish appends the event that states the finish reason and the usage,
// and the end of the stream.
func appendFinish(b []byte, g *generation, emitted int) []byte {
	b = appendHead(b, g)
	if g.chat {
		b = append(b, `"delta":{}`...)
	} else {
		b = append(b, `"text":""`...)
	}
	b = append(b, `,"logprobs":null,"finish_reason":"`...)
	b = append(b, g.finish...)
	b = append(b, `"}],"usage":`...)
	b = appendUsage(b, g, emitted)
	b = append(b, "}\n\n"...)
	return append(b, done...)
}

// appendHead appends an event up to and with the index of its choice.
func appendHead(b []byte, g *generation) []byte {
	b = append(b, `data: {"id":"`...)
	b = append(b, g.id...)
	if g.chat {
		b = append(b, `","object":"chat.completion.chunk","created":0,"model":`...)
	} else {
		b = append(b, `","object":"text_completion","created":0,"model":`...)
	}
	b = append(b, g.model...)
	return append(b, `,"choices":[{"index":0,`...)
}

// appendWhole appends the answer to a call that does not stream.
func appendWhole(b []byte, g *generation, emitted int) []byte {
	b = append(b, `{"id":"`...)
	b = append(b, g.id...)
	if g.chat {
		b = append(b, `","object":"chat.completion","created":0,"model":`...)
	} else {
		b = append(b, `","object":"text_completion","created":0,"model":`...)
	}
	b = append(b, g.model...)
	b = append(b, `,"choices":[{"index":0,`...)
	if g.chat {
		b = append(b, `"message":{"role":"assistant","content":"`...)
	} else {
		b = append(b, `"text":"`...)
	}
	b = appendAnswer(b, g.mark, emitted)
	b = append(b, '"')
	if g.chat {
		b = append(b, '}')
	}
	b = append(b, `,"logprobs":null,"finish_reason":"`...)
	b = append(b, g.finish...)
	b = append(b, `"}],"usage":`...)
	b = appendUsage(b, g, emitted)
	return append(b, "}\n"...)
}

func appendUsage(b []byte, g *generation, emitted int) []byte {
	b = append(b, `{"prompt_tokens":`...)
	b = strconv.AppendInt(b, int64(g.promptTokens), 10)
	b = append(b, `,"completion_tokens":`...)
	b = strconv.AppendInt(b, int64(emitted), 10)
	b = append(b, `,"total_tokens":`...)
	b = strconv.AppendInt(b, int64(g.promptTokens+emitted), 10)
	return append(b, '}')
}
