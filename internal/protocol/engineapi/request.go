package engineapi

import (
	"bytes"
	"encoding/json"
	"fmt"

	"sandcourse/internal/protocol/chat"
)

// Request is a client's request that is sent to engines.
type Request struct {
	Chat *chat.Request
	ID   string // request ID, unique over nodes and their restarts
}

// noAttempt is the attempt index of requests that make no reservation.
const noAttempt = -1

// EncodeForPrefill encodes a prefill request. The role epoch is 0 if the engine's role never changes; the attempt index numbers the
// attempts of the request.
func (r Request) EncodeForPrefill(host string, roleEpoch int64, attemptIndex int) ([]byte, error) {
	return r.encode(host, roleEpoch, attemptIndex, chat.Replacements{"stream": false, "stream_options": nil, "max_tokens": 1,
		"max_completion_tokens": nil, "kv_transfer_params": KVTransfer{RemoteDecode: true}})
}

// EncodeForDecode encodes a decode request, which streams the output from transferred KV state.
func (r Request) EncodeForDecode(host string, roleEpoch int64, t KVTransfer) ([]byte, error) {
	return r.encode(host, roleEpoch, noAttempt, chat.Replacements{"stream": true, "max_tokens": r.Chat.MaxOutputTokens,
		"max_completion_tokens": nil, "kv_transfer_params": t})
}

func (r Request) encode(host string, roleEpoch int64, attemptIndex int, replacements chat.Replacements) ([]byte, error) {
	body, err := r.Chat.RewrittenBody(replacements)
	if err != nil {
		return nil, err
	}
	var b bytes.Buffer
	b.Grow(len(body) + 512)
	fmt.Fprintf(&b, "POST %s HTTP/1.1\r\nHost: %s\r\nContent-Type: application/json\r\nContent-Length: %d\r\n%s: %s\r\n",
		ChatPath, host, len(body), chat.HeaderRequestID, r.ID)
	if attemptIndex >= 0 {
		fmt.Fprintf(&b, "%s: %d\r\n", HeaderAttempt, attemptIndex)
	}
	if roleEpoch > 0 {
		fmt.Fprintf(&b, "%s: %d\r\n", HeaderRoleEpoch, roleEpoch)
	}
	for _, field := range [][2]string{{chat.HeaderClientRequestID, r.Chat.ClientRequestID},
		{chat.HeaderIdempotencyKey, r.Chat.IdempotencyKey}} {
		if field[1] != "" {
			fmt.Fprintf(&b, "%s: %s\r\n", field[0], field[1])
		}
	}
	b.WriteString("\r\n")
	b.Write(body)
	return b.Bytes(), nil
}

// EncodeHealthCheck encodes a health check, which requests the engine's load report.
func EncodeHealthCheck(host string) []byte {
	return fmt.Appendf(nil, "GET %s HTTP/1.1\r\nHost: %s\r\n\r\n", LoadPath, host)
}

// releaseBody is the body of a release request.
type releaseBody struct {
	RequestID    string `json:"inference"`
	AttemptIndex int    `json:"send"`
}

// EncodeRelease encodes a request to a prefill engine to release the reservation of an attempt. The release also applies if the
// engine makes the reservation only afterwards.
func EncodeRelease(host, requestID string, attemptIndex int) []byte {
	body, _ := json.Marshal(releaseBody{requestID, attemptIndex})
	return fmt.Appendf(nil, "POST %s HTTP/1.1\r\nHost: %s\r\nContent-Type: application/json\r\n"+
		"Content-Length: %d\r\n\r\n%s", ReleasePath, host, len(body), body)
}
