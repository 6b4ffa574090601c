package edge

import (
	"net/http"
	"strings"

	"sandcourse/internal/admission"
	"sandcourse/internal/protocol"
	"sandcourse/internal/protocol/httpframing"
	"sandcourse/internal/router"
)

const (
	// progressStep is the number of bytes by which an unfinished request grows until its progress is reported again.
	progressStep = 4 << 10
	// fieldOverhead is the memory, in bytes, that a parsed header field takes beside its text.
	fieldOverhead = 128
)

// requestReader assembles the requests of one client connection from the bytes that are read.
type requestReader struct {
	codec  protocol.ClientCodec
	parser *httpframing.Parser

	head      *http.Request // head of the request whose body is being read; nil before its end
	headBytes int           // size of the encoded head
	body      []byte
	reported  requestProgress // progress of the unfinished request that was reported last
}

// requestProgress is how much of an unfinished request has been read.
type requestProgress struct {
	event  admission.Event // HeaderStarted or HeaderComplete
	memory int             // bytes that the request takes; 0 before its first byte
}

// requestEventKind is the kind of a requestEvent.
type requestEventKind uint8

const (
	continueExpected requestEventKind = iota // the client waits for "100 Continue"
	requestComplete
	requestUnfinished
)

// requestEvent is what the bytes of a read mean for a request.
type requestEvent struct {
	kind     requestEventKind
	complete *router.ClientRequest // set for requestComplete
	progress requestProgress       // set for requestUnfinished
	growth   int                   // set for requestUnfinished: memory since the last report
}

// read parses the next bytes. Errors are those of the parser; after an error the reader must not be used again.
func (r *requestReader) read(data []byte) (events []requestEvent, err error) {
	parts, err := r.parser.Feed(data)
	for _, part := range parts {
		switch part.Kind {
		case httpframing.Head:
			r.head, r.headBytes, r.body = part.Request, part.Size, nil
			if strings.EqualFold(part.Request.Header.Get("Expect"), "100-continue") {
				events = append(events, requestEvent{kind: continueExpected})
			}
		case httpframing.Body:
			r.body = append(r.body, part.Data...)
		case httpframing.End:
			events = append(events, requestEvent{kind: requestComplete, complete: r.complete()})
		}
	}
	if err != nil || r.parser.AtBoundary() {
		return events, err
	}
	return r.appendProgress(events), nil
}

// complete returns the request that has been read to its end.
func (r *requestReader) complete() *router.ClientRequest {
	request := router.NewClientRequest(r.codec, r.head, r.headBytes, r.body)
	r.discard()
	return request
}

// discard drops the part of a request that has been read.
func (r *requestReader) discard() { r.head, r.body, r.reported = nil, nil, requestProgress{} }

// appendProgress appends an event if the unfinished request begins, if its head is complete, or if it has grown by progressStep.
func (r *requestReader) appendProgress(events []requestEvent) []requestEvent {
	progress := requestProgress{admission.HeaderStarted, cap(r.body) + r.parser.Buffered()}
	if r.head != nil {
		progress.event = admission.HeaderComplete
		progress.memory += r.headBytes + fieldOverhead*len(r.head.Header)
	}
	growth := progress.memory - r.reported.memory
	if r.reported.memory > 0 && r.reported.event == progress.event && growth < progressStep {
		return events
	}
	r.reported = progress
	return append(events, requestEvent{kind: requestUnfinished, progress: progress, growth: max(0, growth)})
}
