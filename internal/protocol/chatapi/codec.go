// Package chatapi implements the codec of the open protocol: the chat API towards clients (package chat), and the published
// form of prefill/decode disaggregation towards engines (package engineapi). It does no I/O.
package chatapi

import (
	"encoding/json"

	"sandcourse/internal/protocol"
	"sandcourse/internal/protocol/chat"
)

// Codec implements protocol.Codec.
type Codec struct {
	models []byte // body of the response to a request for the list of models
}

var _ protocol.Codec = (*Codec)(nil)

// modelList is the list of models in the form that OpenAI-style clients expect.
type modelList struct {
	Data   []model `json:"data"`
	Object string  `json:"object"`
}

type model struct {
	ID      string `json:"id"`
	Object  string `json:"object"`
	OwnedBy string `json:"owned_by"`
}

// NewCodec returns the codec of a node that serves the given model routes.
func NewCodec(routes []string) *Codec {
	list := modelList{Object: "list"}
	for _, route := range routes {
		list.Data = append(list.Data, model{ID: route, Object: "model", OwnedBy: "sandcourse"})
	}
	models, _ := json.Marshal(list)
	return &Codec{models}
}

// ToRequest converts a chat request into a request of package protocol.
func ToRequest(request *chat.Request) *protocol.Request {
	return &protocol.Request{
		Route:             request.Model,
		Session:           request.Session,
		Prefix:            request.PrefixHash,
		PromptTokens:      request.PromptTokens,
		PrefixTokens:      request.PrefixTokens,
		MaxOutputTokens:   request.MaxOutputTokens,
		Stream:            request.Stream,
		Idempotent:        request.IdempotencyKey != "",
		Retried:           request.RetryCount > 0,
		FirstTokenTimeout: request.FirstTokenTimeout,
		ProtocolData:      request,
	}
}
