package router

import (
	"fmt"
	"net/http"

	"sandcourse/internal/protocol"
)

// requestOverhead is the memory, in bytes, that a request takes beside its head and body.
const requestOverhead = 1 << 10

// ClientRequest is one complete HTTP request of a client, without the parts of its head that are not needed any more: many
// requests may wait on a connection.
type ClientRequest struct {
	Method, Path string             // set if the router itself answers the request
	Parsed       *protocol.Request  // the decoded request; nil if the router itself answers it
	Tenant       string             // tenant whose quota the request counts against; empty if the connection has its own quota
	Bytes        int                // memory of the request
	Rejection    *protocol.Response // the answer to an invalid request
	KeepAlive    bool               // the connection stays open after the answer
	OldProtocol  bool               // the request uses a version of HTTP before 1.1

	shedReason ShedReason // why the request is shed at its turn; empty if it is not
	terminal   bool       // no request after this one can be read
}

// NewClientRequest decodes a complete request, whose encoded head had headBytes bytes.
func NewClientRequest(codec protocol.ClientCodec, head *http.Request, headBytes int, body []byte) *ClientRequest {
	isCurrent := head.ProtoAtLeast(1, 1)
	request := &ClientRequest{KeepAlive: isCurrent && !head.Close, OldProtocol: !isCurrent, Bytes: requestOverhead}
	request.Parsed, request.Tenant, request.Rejection = codec.ParseRequest(head, body)
	switch {
	case request.Rejection != nil:
		request.Bytes += len(request.Rejection.Body)
	case request.Parsed != nil:
		p := request.Parsed // It has copies of parts of the head.
		request.Bytes += headBytes + len(body) + len(p.ID) + len(p.Route) + len(p.Session) + len(p.Prefix)
	default:
		request.Method, request.Path = head.Method, head.URL.Path
		request.Bytes += headBytes
	}
	return request
}

// discardPayload frees the memory that a request does not need if it is only answered and not forwarded, and returns the number
// of bytes. The function routeIndex returns the index of a route, or a negative number for an unknown one.
func (c *ClientRequest) discardPayload(codec protocol.ClientCodec, routeIndex func(string) int, notReady string) (freed int) {
	switch {
	case c.Rejection != nil:
		rejection := codec.InvalidRequestResponse(c.Rejection.Status, "bad_call", "", http.StatusText(c.Rejection.Status))
		c.Rejection = &rejection
	case c.Parsed == nil:
		answer := codec.AuxiliaryResponse(c.Method, c.Path, notReady)
		c.Rejection = &answer
	case routeIndex(c.Parsed.Route) < 0:
		rejection := unknownRouteResponse(codec, c.Parsed.Route)
		c.Rejection = &rejection
	}
	c.Method, c.Path = "", ""
	if c.Rejection != nil {
		c.Parsed = nil
	} else {
		p := c.Parsed
		c.Parsed = &protocol.Request{ID: p.ID, Route: p.Route, PromptTokens: p.PromptTokens, Resumes: p.Resumes, Retried: p.Retried}
	}
	freed = c.Bytes - requestOverhead
	c.Bytes = requestOverhead
	return freed
}

// maxQuotedRoute is the number of bytes of a route's name that an answer quotes.
const maxQuotedRoute = 128

func unknownRouteResponse(codec protocol.ClientCodec, route string) protocol.Response {
	return codec.InvalidRequestResponse(http.StatusNotFound, "model_not_found", "model",
		fmt.Sprintf("there is no model route %.*q", maxQuotedRoute, route))
}
