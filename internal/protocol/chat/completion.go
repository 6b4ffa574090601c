package chat

import (
	"encoding/json"
	"errors"
	"fmt"
	"strings"
)

// CompletionChunk has the fields of a streamed event that the router uses.
type CompletionChunk struct {
	ID      string `json:"id"`
	Choices []struct {
		Index int `json:"index"`
		Delta struct {
			Content string `json:"content"`
		} `json:"delta"`
		FinishReason *string `json:"finish_reason"`
	} `json:"choices"`
	Usage *Usage `json:"usage,omitempty"`
}

// Usage counts tokens.
type Usage struct {
	PromptTokens     int `json:"prompt_tokens"`
	CompletionTokens int `json:"completion_tokens"`
	TotalTokens      int `json:"total_tokens"`
}

// ErrCompletionTooLarge reports that the text of a completion exceeds the limit of its CompletionBuilder.
var ErrCompletionTooLarge = errors.New("completion is over its size limit")

// CompletionBuilder assembles the events of a stream into one complete response.
type CompletionBuilder struct {
	maxBytes     int
	id           string
	text         strings.Builder
	finishReason string
	tokens       int // number of events with text, each counted as one token
	usage        *Usage
}

// NewCompletionBuilder returns a builder that holds at most maxBytes bytes of text.
func NewCompletionBuilder(maxBytes int) *CompletionBuilder {
	return &CompletionBuilder{maxBytes: maxBytes, finishReason: "stop"}
}

// Add appends the next event.
func (b *CompletionBuilder) Add(data []byte) error {
	var chunk CompletionChunk
	if err := json.Unmarshal(data, &chunk); err != nil {
		return fmt.Errorf("event is not JSON: %w", err)
	}
	if b.id == "" {
		b.id = chunk.ID
	}
	if chunk.Usage != nil {
		b.usage = chunk.Usage
	}
	for _, choice := range chunk.Choices {
		if choice.Index != 0 {
			continue
		}
		if b.text.Len()+len(choice.Delta.Content) > b.maxBytes {
			return ErrCompletionTooLarge
		}
		if choice.Delta.Content != "" {
			b.tokens++
		}
		b.text.WriteString(choice.Delta.Content)
		if choice.FinishReason != nil {
			b.finishReason = *choice.FinishReason
		}
	}
	return nil
}

// completion is a complete response. The keys stay in alphabetical order, as clients have always received them.
type completion struct {
	Choices [1]completionChoice `json:"choices"`
	ID      string              `json:"id"`
	Model   string              `json:"model"`
	Object  string              `json:"object"`
	Usage   *Usage              `json:"usage"`
}

type completionChoice struct {
	FinishReason string            `json:"finish_reason"`
	Index        int               `json:"index"`
	Message      completionMessage `json:"message"`
}

type completionMessage struct {
	Content string `json:"content"`
	Role    string `json:"role"`
}

// Body returns the body of the complete response.
func (b *CompletionBuilder) Body(request *Request) []byte {
	usage := b.usage
	if usage == nil {
		usage = &Usage{request.PromptTokens, b.tokens, request.PromptTokens + b.tokens}
	}
	choice := completionChoice{FinishReason: b.finishReason, Message: completionMessage{b.text.String(), "assistant"}}
	body, _ := json.Marshal(completion{Choices: [1]completionChoice{choice}, ID: b.id, Model: request.Model,
		Object: "chat.completion", Usage: usage})
	return body
}

// apiError is an error object in the form that OpenAI-style clients expect.
type apiError struct {
	Code    string  `json:"code"`
	Message string  `json:"message"`
	Param   *string `json:"param"`
	Type    string  `json:"type"`
}

// ErrorBody returns the body of an error response. If param is empty, the error is not about a parameter.
func ErrorBody(kind, code, param, text string) []byte {
	inner := apiError{Code: code, Message: text, Type: kind}
	if param != "" {
		inner.Param = &param
	}
	body, _ := json.Marshal(struct {
		Error apiError `json:"error"`
	}{inner})
	return body
}
