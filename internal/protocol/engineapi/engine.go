// Package engine is the protocol to engines: what is asked of a reader and of a writer, and how their answers
// are read. It does no I/O. docs/engine-protocol.md says which part is the publicly known form of prefill/decode
// disaggregation and which is this project's extension.
package engineapi

import (
	"bytes"
	"encoding/json"
	"fmt"
	"net/http"
	"strconv"

	"sandcourse/internal/attempt"
	"sandcourse/internal/protocol/chat"
)

// Paths and headers. Those that begin with X-Sandcourse or /sandcourse are extensions.
const (
	ChatPath    = "/v1/chat/completions"
	LoadPath    = "/sandcourse/load"
	ReleasePath = "/sandcourse/release"

	HeaderRefused = "X-Sandcourse-Refused" // why an engine surely did not run a send
	HeaderMemory  = "X-Sandcourse-Memory"  // share of memory held, 0 to 1
	HeaderWaiting = "X-Sandcourse-Waiting" // thousands of prompt tokens to read or fetch
	HeaderOpen    = "X-Sandcourse-Open"    // inferences it holds
	HeaderSend    = "X-Sandcourse-Send"    // which send of the inference a read is; its state goes by both
	HeaderEpoch   = "X-Sandcourse-Epoch"   // of the engine's role, as the edge knows it
)

// The words of HeaderRefused.
const (
	RefusedFull     = "full"
	RefusedDraining = "draining"
	RefusedNoState  = "no-state"
	RefusedEpoch    = "epoch" // its role has another epoch by now, or it loads for the next one
	RefusedRole     = "role"  // it has no epochs, or the same, and another role
)

// Transfer is kv_transfer_params: how a read state is named.
type Transfer struct {
	RemoteDecode  bool   `json:"do_remote_decode"`
	RemotePrefill bool   `json:"do_remote_prefill"`
	Engine        string `json:"remote_engine_id,omitempty"`
	Host          string `json:"remote_host,omitempty"`
	Port          int    `json:"remote_port,omitempty"`
	Blocks        []int  `json:"remote_block_ids,omitempty"`
}

// Job is one inference on its way to engines.
type Job struct {
	Call *chat.Call
	Name string // of the inference, unique over nodes and restarts
}

// Read asks a reader for a state; send is its number among the inference's sends. Epoch is of the engine's role, 0
// where it has none.
func (j Job) Read(host string, epoch int64, send int) ([]byte, error) {
	return j.request(host, epoch, send, map[string]any{"stream": false, "stream_options": nil, "max_tokens": 1,
		"max_completion_tokens": nil, "kv_transfer_params": Transfer{RemoteDecode: true}})
}

// Write asks a writer for the answer from a state.
func (j Job) Write(host string, epoch int64, t Transfer) ([]byte, error) {
	return j.request(host, epoch, -1, map[string]any{"stream": true, "max_tokens": j.Call.MaxAnswer,
		"max_completion_tokens": nil, "kv_transfer_params": t})
}

func (j Job) request(host string, epoch int64, send int, put map[string]any) ([]byte, error) {
	body, err := j.Call.Rewritten(put)
	if err != nil {
		return nil, err
	}
	var b bytes.Buffer
	b.Grow(len(body) + 512)
	fmt.Fprintf(&b, "POST %s HTTP/1.1\r\nHost: %s\r\nContent-Type: application/json\r\nContent-Length: %d\r\n%s: %s\r\n",
		ChatPath, host, len(body), chat.HeaderInference, j.Name)
	if send >= 0 {
		fmt.Fprintf(&b, "%s: %d\r\n", HeaderSend, send)
	}
	if epoch > 0 {
		fmt.Fprintf(&b, "%s: %d\r\n", HeaderEpoch, epoch)
	}
	for _, h := range [][2]string{{chat.HeaderRequest, j.Call.Request}, {chat.HeaderRepeat, j.Call.RepeatMark}} {
		if h[1] != "" {
			fmt.Fprintf(&b, "%s: %s\r\n", h[0], h[1])
		}
	}
	b.WriteString("\r\n")
	b.Write(body)
	return b.Bytes(), nil
}

// Probe asks an engine for its load.
func Probe(host string) []byte {
	return fmt.Appendf(nil, "GET %s HTTP/1.1\r\nHost: %s\r\n\r\n", LoadPath, host)
}

// Release asks a reader to let go of what it holds, or comes to hold, from one send of an inference.
func Release(host, name string, send int) []byte {
	body, _ := json.Marshal(map[string]any{"inference": name, "send": send})
	return fmt.Appendf(nil, "POST %s HTTP/1.1\r\nHost: %s\r\nContent-Type: application/json\r\n"+
		"Content-Length: %d\r\n\r\n%s", ReleasePath, host, len(body), body)
}

// SortHead says what a status line and its head mean for a send.
func SortHead(a *http.Response) attempt.Input {
	word := a.Header.Get(HeaderRefused)
	switch {
	case a.StatusCode == http.StatusOK && word == "":
		return attempt.Accepted
	case a.StatusCode < 400:
		return attempt.Garbled
	case word == RefusedNoState:
		return attempt.NoState
	case word == RefusedFull, word == RefusedDraining, word == RefusedEpoch, word == RefusedRole:
		return attempt.Refused
	}
	// A status alone, 503 too, does not say that nothing ran.
	return attempt.Failed
}

// ReadAnswer reads a reader's answer: the state's name and how many prompt tokens it had kept.
func ReadAnswer(body []byte) (t Transfer, kept int, err error) {
	var a struct {
		Transfer *Transfer `json:"kv_transfer_params"`
		Usage    struct {
			Details struct {
				Cached int `json:"cached_tokens"`
			} `json:"prompt_tokens_details"`
		} `json:"usage"`
	}
	if err := json.Unmarshal(body, &a); err != nil {
		return t, 0, fmt.Errorf("reader's answer is not JSON: %w", err)
	}
	if a.Transfer == nil || !a.Transfer.RemotePrefill || a.Transfer.Host == "" ||
		a.Transfer.Port < 1 || a.Transfer.Port > 65535 {
		return t, 0, fmt.Errorf("reader's answer names no state to fetch")
	}
	return *a.Transfer, max(0, a.Usage.Details.Cached), nil
}

// Report reads an engine's load as the module names its parts; what is missing or no sane figure is left out,
// so that an engine that lies in this way is only unheard of.
func Report(h http.Header) map[string]float64 {
	report := map[string]float64{}
	for _, f := range []struct {
		header, name string
		most         float64
	}{{HeaderMemory, "memory_share", 4}, {HeaderWaiting, "waiting_thousand_tokens", 1e6}, {HeaderOpen, "open", 1e6}} {
		if v, err := strconv.ParseFloat(h.Get(f.header), 64); err == nil && v >= 0 && v <= f.most {
			report[f.name] = v
		}
	}
	// One without the other would be taken for zero.
	if len(report) != 3 {
		return nil
	}
	return report
}
