// Package platform is the dialect of the operators' platform: what clients and engines say there, and how a
// node is configured. It does no I/O.
package platform

import (
	"bytes"
	"encoding/json"
	"errors"
	"fmt"
	"maps"
	"math"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"time"

	"sandcourse/internal/attempt"
	"sandcourse/internal/config/params"
	"sandcourse/internal/protocol"
	"sandcourse/internal/protocol/chat"
	"sandcourse/internal/routing"
)

// The paths and headers of the protocol.
const (
	CompletionsPath  = "/v1/chat/completions"
	HealthPath       = "/_health"
	LoadReportPath   = "/_load"
	PingPath         = "/ping"
	ReservationsPath = "/v1/holds/"

	HeaderRequestID    = "Request-Id"
	HeaderRequestClass = "Request-Class"
	HeaderAffinityKey  = "Affinity-Key"
	HeaderTimeout      = "Request-Timeout"
	HeaderRequestInfo  = "Request-Info"
	HeaderClientRetry  = "Client-Retry"
	HeaderLoadReport   = "Server-Load"
	HeaderNotStarted   = "Not-Started"
)

// Bounds of what a client may say of a call; its body is bounded by the framing.
const (
	maxIDBytes = 128              // bytes of a name or a session
	maxTokens  = 1 << 24          // of any length in tokens
	maxTimeout = 10 * time.Minute // that a client may wait
)

// Codec is the platform's.
type Codec struct {
	reportFields []string // fields of a load report that must all be there; none where there are no reports
}

// NewCodec makes the dialect of a deployment whose load reports have these fields.
func NewCodec(reports []string) *Codec { return &Codec{reports} }

// forwardedRequest is what of a client's request goes on to engines unchanged.
type forwardedRequest struct {
	requestLine  string // method and target
	headerFields []byte // of its head that are passed on, as they are written
	body         []byte
}

func (d *Codec) ParseRequest(r *http.Request, body []byte) (*protocol.Request, string, *protocol.Response) {
	if r.URL.Path != CompletionsPath || r.Method != http.MethodPost {
		return nil, "", nil
	}
	request, err := parseRequest(r, body)
	if err != nil {
		response := d.InvalidRequestResponse(http.StatusBadRequest, "bad_call", "", err.Error())
		return nil, "", &response
	}
	return request, "", nil
}

// isURLSafe is whether a text can stand in a path and in a header as it is.
func isURLSafe(text string) bool {
	return !strings.ContainsFunc(text, func(r rune) bool {
		return !(r >= 'a' && r <= 'z' || r >= 'A' && r <= 'Z' || r >= '0' && r <= '9' || strings.ContainsRune("-_.~", r))
	})
}

func parseRequest(r *http.Request, body []byte) (*protocol.Request, error) {
	for _, name := range []string{HeaderRequestID, HeaderRequestClass, HeaderAffinityKey, HeaderTimeout, HeaderRequestInfo, HeaderClientRetry} {
		if len(r.Header.Values(name)) > 1 {
			return nil, fmt.Errorf("%s stands twice", name)
		}
	}
	request := &protocol.Request{ID: r.Header.Get(HeaderRequestID), Route: r.Header.Get(HeaderRequestClass),
		Session: r.Header.Get(HeaderAffinityKey), Stream: true, Retried: r.Header.Get(HeaderClientRetry) != "",
		Idempotent: r.Header.Get(HeaderClientRetry) != "", Resumes: r.Header.Get(HeaderClientRetry) == "again",
		ProtocolData: &forwardedRequest{r.Method + " " + r.RequestURI, forwardedFields(r.Header), body}}
	switch {
	case request.ID == "" || len(request.ID) > maxIDBytes || !isURLSafe(request.ID) || strings.Trim(request.ID, ".") == "":
		return nil, fmt.Errorf("%s must be 1 to %d letters, digits, - or _", HeaderRequestID, maxIDBytes)
	case request.Route == "":
		return nil, fmt.Errorf("%s is missing", HeaderRequestClass)
	case len(request.Session) > maxIDBytes:
		return nil, fmt.Errorf("%s must have at most %d bytes", HeaderAffinityKey, maxIDBytes)
	}
	text := r.Header.Get(HeaderTimeout)
	seconds, err := strconv.ParseFloat(text, 64)
	if err != nil || !(seconds > 0 && seconds <= maxTimeout.Seconds()) {
		return nil, fmt.Errorf("%s must be seconds over 0 and up to %v, not %q", HeaderTimeout, maxTimeout.Seconds(), text)
	}
	request.FirstTokenTimeout = time.Duration(seconds * float64(time.Second))
	// One token is four characters; 512 is what most clients mean that say nothing.
	request.PromptTokens, request.MaxOutputTokens = len(body)/4, 512
	if err := parseRequestInfo(request, r.Header.Get(HeaderRequestInfo)); err != nil {
		return nil, err
	}
	// What is no object no engine can use, and its error would look like the engine's own.
	if !json.Valid(body) || bytes.TrimLeft(body, " \t\r\n")[0] != '{' {
		return nil, errors.New("the body is no JSON object")
	}
	return request, nil
}

// notForwarded are the fields that end here: those of one connection (RFC 9110, section 7.6.1), and those that the node
// writes itself.
var notForwarded = map[string]bool{"Connection": true, "Keep-Alive": true, "Proxy-Connection": true,
	"Proxy-Authenticate": true, "Proxy-Authorization": true, "Te": true, "Trailer": true, "Transfer-Encoding": true,
	"Upgrade": true, "Expect": true, "Host": true, "Content-Length": true, HeaderRequestID: true, HeaderTimeout: true}

// forwardedFields writes the fields of a head that go on to engines, in order of their names. A deployment's engines may need
// fields that this program does not know, such as an idempotency key.
func forwardedFields(header http.Header) (out []byte) {
	hopByHop := map[string]bool{}
	for _, listed := range header.Values("Connection") {
		for name := range strings.SplitSeq(listed, ",") {
			hopByHop[http.CanonicalHeaderKey(strings.TrimSpace(name))] = true
		}
	}
	for _, name := range slices.Sorted(maps.Keys(header)) {
		if notForwarded[name] || hopByHop[name] {
			continue
		}
		for _, value := range header[name] {
			out = fmt.Appendf(out, "%s: %s\r\n", name, value)
		}
	}
	return out
}

// parseRequestInfo reads the lengths that a client tells; what is not known is passed over.
func parseRequestInfo(request *protocol.Request, text string) error {
	for part := range strings.SplitSeq(text, ",") {
		name, value, _ := strings.Cut(strings.TrimSpace(part), "=")
		tokens := map[string]*int{"prompt_len": &request.PromptTokens, "prefix_len": &request.PrefixTokens, "max_out": &request.MaxOutputTokens}[name]
		switch {
		case name == "prefix":
			if len(value) > maxIDBytes {
				return fmt.Errorf("%s: prefix must have at most %d bytes", HeaderRequestInfo, maxIDBytes)
			}
			request.Prefix = value
		case tokens != nil:
			n, err := strconv.Atoi(value)
			if err != nil || n < 0 || n > maxTokens {
				return fmt.Errorf("%s: %s must be 0 to %d, not %q", HeaderRequestInfo, name, maxTokens, value)
			}
			*tokens = n
		}
	}
	return nil
}

func textResponse(status int, reason string, headers ...string) protocol.Response {
	return protocol.Response{Status: status, ContentType: "text/plain", Headers: headers, Body: []byte(reason + "\n")}
}

func (*Codec) AuxiliaryResponse(r *http.Request, notReady string) protocol.Response {
	switch {
	case r.URL.Path == HealthPath && r.Method == http.MethodGet && notReady == "":
		return textResponse(http.StatusOK, "ready")
	case r.URL.Path == HealthPath && r.Method == http.MethodGet:
		return textResponse(http.StatusServiceUnavailable, notReady)
	case r.URL.Path == HealthPath || r.URL.Path == CompletionsPath:
		return textResponse(http.StatusMethodNotAllowed, "this method is not served here")
	}
	return textResponse(http.StatusNotFound, "nothing is served here")
}

func (*Codec) InvalidRequestResponse(status int, _, _, reason string) protocol.Response {
	return textResponse(status, reason)
}

func (*Codec) ShedResponse(status int, _, reason string, retryAfter time.Duration) protocol.Response {
	if retryAfter <= 0 {
		return textResponse(status, reason)
	}
	return textResponse(status, reason, "Retry-After", strconv.FormatFloat(retryAfter.Seconds(), 'f', 3, 64))
}

func (*Codec) ErrorResponse(_, reason string, timedOut bool) protocol.Response {
	if timedOut {
		return textResponse(http.StatusGatewayTimeout, reason)
	}
	return textResponse(http.StatusBadGateway, reason)
}

// NewCollector is nil: all clients here take streams.
func (*Codec) NewCollector(*protocol.Request) protocol.Collector { return nil }

// CompleteResponse is never asked for, as nothing is collected.
func (d *Codec) CompleteResponse(*protocol.Request, string, protocol.Collector) protocol.Response {
	return d.ErrorResponse("", "no whole answers are given here", false)
}

func (*Codec) StreamHead(string) []byte {
	return []byte("HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n")
}

func (*Codec) StreamEvent(event []byte) []byte { return chat.EncodeChunk(event) }

// StreamEnd of a stream that broke says nothing: its client learns it by the end of the connection.
func (*Codec) StreamEnd(completed bool, _ string) ([]byte, bool) {
	if !completed {
		return nil, false
	}
	return []byte("0\r\n\r\n"), true
}

// MixedEnginePrefillsOnDecode is true: a mixed engine that finds no state reads the prompt itself and streams the answer.
func (*Codec) MixedEnginePrefillsOnDecode() bool { return true }

func engineRequest(request *protocol.Request, id string, target protocol.Target, timeLeft time.Duration) ([]byte, error) {
	forwarded := request.ProtocolData.(*forwardedRequest)
	b := make([]byte, 0, len(forwarded.headerFields)+len(forwarded.body)+512)
	b = fmt.Appendf(b, "%s HTTP/1.1\r\nHost: %s\r\n%s: %s\r\n%s: %.3f\r\nContent-Length: %d\r\n", forwarded.requestLine, target.Address,
		HeaderRequestID, id, HeaderTimeout, max(0.001, timeLeft.Seconds()), len(forwarded.body))
	b = append(append(b, forwarded.headerFields...), "\r\n"...)
	return append(b, forwarded.body...), nil
}

func (*Codec) PrefillRequest(request *protocol.Request, id string, target protocol.Target, _ int, timeLeft time.Duration) ([]byte, error) {
	return engineRequest(request, id, target, timeLeft)
}

func (*Codec) DecodeRequest(request *protocol.Request, id string, target protocol.Target, _ protocol.ReservationHandle,
	timeLeft time.Duration) ([]byte, error) {
	return engineRequest(request, id, target, timeLeft)
}

func (d *Codec) HealthCheckRequest(target protocol.Target) []byte {
	path := LoadReportPath
	if len(d.reportFields) == 0 {
		path = PingPath
	}
	return fmt.Appendf(nil, "GET %s HTTP/1.1\r\nHost: %s\r\n\r\n", path, target.Address)
}

// ReleaseRequest lets go of all that an engine holds for an inference, whichever send made it.
func (*Codec) ReleaseRequest(target protocol.Target, id string, _ int) []byte {
	return fmt.Appendf(nil, "DELETE %s%s HTTP/1.1\r\nHost: %s\r\n\r\n", ReservationsPath, id, target.Address)
}

// ReleaseReachesAllEngines is true: every engine accepts a release, of whatever is held for the request at any engine.
func (*Codec) ReleaseReachesAllEngines() bool { return true }

func (*Codec) ClassifyResponse(head *http.Response, isDecode bool) attempt.Event {
	notStarted := head.Header.Get(HeaderNotStarted) == "1"
	switch {
	case isDecode && head.StatusCode == http.StatusOK && chat.IsEventStream(head.Header):
		return attempt.SuccessStatus
	case !isDecode && head.StatusCode == http.StatusAccepted:
		return attempt.SuccessStatus
	case head.StatusCode < 400:
		return attempt.MalformedResponse
	case head.StatusCode == http.StatusGone && notStarted:
		return attempt.ReservationNotFound
	case notStarted && (head.StatusCode == http.StatusServiceUnavailable || head.StatusCode == http.StatusGatewayTimeout):
		return attempt.Rejected
	}
	// A status without the engine's word does not say that nothing ran.
	return attempt.ErrorStatus
}

// reservationByRequestID stands for a state at a reader, which goes by the inference's own name.
type reservationByRequestID struct{}

func (*Codec) ParseReservation(body []byte) (protocol.ReservationHandle, int, error) {
	var response struct {
		Kept *int `json:"cached_tokens"`
	}
	if err := json.Unmarshal(body, &response); err != nil {
		return nil, 0, fmt.Errorf("reader's answer is not JSON: %w", err)
	}
	if response.Kept == nil || *response.Kept < 0 {
		return nil, 0, errors.New("reader's answer does not say what it had kept")
	}
	return reservationByRequestID{}, *response.Kept, nil
}

func (d *Codec) ParseLoadReport(head *http.Response, body []byte) *routing.LoadReport {
	if report := d.parseReportText(head.Header.Get(HeaderLoadReport)); report != nil {
		return report
	}
	return d.parseReportText(string(body))
}

func (d *Codec) ParseLoadComment(line []byte) *routing.LoadReport {
	name, value, _ := strings.Cut(string(line), ":")
	if !strings.EqualFold(strings.TrimSpace(name), HeaderLoadReport) {
		return nil
	}
	return d.parseReportText(value)
}

// parseReportText reads a load report. One that lacks a field or has one that is no sane figure is left out whole, so
// that an engine that lies in this way is only unheard of.
func (d *Codec) parseReportText(text string) *routing.LoadReport {
	const maxBytes = 1024
	text = strings.TrimSpace(text)
	if len(d.reportFields) == 0 || text == "" || len(text) > maxBytes {
		return nil
	}
	values := map[string]float64{}
	for part := range strings.SplitSeq(strings.TrimPrefix(text, "TEXT "), ",") {
		name, value, ok := strings.Cut(strings.TrimSpace(part), "=")
		number, err := strconv.ParseFloat(value, 64)
		if !ok || err != nil || math.IsNaN(number) || number < 0 || number > 1e9 {
			return nil
		}
		values[name] = number
	}
	if slices.ContainsFunc(d.reportFields, func(name string) bool { _, ok := values[name]; return !ok }) {
		return nil
	}
	return params.LoadReport(values)
}

// IsFinalEvent is never so: the event that says the stream is done is the client's too.
func (*Codec) IsFinalEvent([]byte) bool { return false }

// ClassifyStreamEnd is a stream's proper end, as only a whole stream has its last chunk.
func (*Codec) ClassifyStreamEnd(hasEvents bool) (attempt.Event, string) {
	if !hasEvents {
		return attempt.MalformedResponse, "the stream has no event"
	}
	return attempt.DecodeCompleted, ""
}
