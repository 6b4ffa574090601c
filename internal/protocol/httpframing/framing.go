// Package framing cuts the bytes of one HTTP/1.1 connection into heads, pieces of body and ends. It does no
// I/O.
//
// Heads are read by net/http; what this package adds is the strictness that a router needs between two
// parties that may see a message differently (RFC 9112, section 11.2): one length or chunked, never both,
// never two.
package httpframing

import (
	"bufio"
	"bytes"
	"fmt"
	"net/http"
	"strconv"
	"strings"
)

// Direction says which messages a connection carries towards this program.
type Direction uint8

const (
	Requests Direction = iota
	Responses
)

// Limits are the most bytes that one head and one body may have.
type Limits struct{ HeadBytes, BodyBytes int }

// PartKind is what a piece is.
type PartKind uint8

const (
	Head PartKind = iota
	Body
	End
)

// Part is one step of a message. Data is only valid until the next Feed.
type Part struct {
	Kind     PartKind
	Request  *http.Request
	Response *http.Response
	Data     []byte
}

// MessageError says why a message is refused, and with which status a server should say so.
type MessageError struct {
	Status int
	Reason string
}

func (e *MessageError) Error() string { return e.Reason }

func messageError(status int, format string, args ...any) error {
	return &MessageError{status, fmt.Sprintf(format, args...)}
}

type parserState uint8

const (
	inHead parserState = iota
	inBody
	inChunkSize
	inChunk
	inChunkEnd
	inTrailer
)

// A chunk's size line and a trailer line are bounded by this: sixteen digits and some extension.
const maxLineBytes = 1024

// Parser holds what has been read of the present message. The zero value is not useful: see New.
type Parser struct {
	direction        Direction
	limits           Limits
	state            parserState
	unparsed         []byte // read, not yet cut
	remaining        int    // bytes of body or chunk still to come
	bodyBytes        int    // bytes of body so far
	trailerBytes     int
	interimResponses int // answers that went before the one that is meant
	err              error
}

// The most interim answers before one that is meant; common servers send one or two.
const maxInterimResponses = 16

// NewParser makes a cutter for one connection.
func NewParser(direction Direction, limits Limits) *Parser {
	return &Parser{direction: direction, limits: limits}
}

// AtBoundary is whether no message is under way and nothing unread is left, so that the connection may be kept.
func (p *Parser) AtBoundary() bool { return p.state == inHead && len(p.unparsed) == 0 && p.err == nil }

// Buffered is how many bytes wait here.
func (p *Parser) Buffered() int { return len(p.unparsed) }

// Feed takes the next bytes. After an error the connection is of no further use.
func (p *Parser) Feed(data []byte) (parts []Part, err error) {
	if p.err != nil {
		return nil, p.err
	}
	p.unparsed = append(p.unparsed, data...)
	in := p.unparsed
	for err == nil {
		var part *Part
		var used int
		part, used, err = p.next(in)
		in = in[used:]
		if part != nil {
			parts = append(parts, *part)
		}
		if used == 0 && part == nil {
			break
		}
	}
	// What was cut is still shown by the pieces, so the rest goes to a place of its own.
	p.unparsed = bytes.Clone(in)
	p.err = err
	return parts, err
}

func (p *Parser) next(in []byte) (*Part, int, error) {
	switch p.state {
	case inHead:
		return p.parseHead(in)
	case inBody, inChunk:
		n := min(len(in), p.remaining)
		if n == 0 && p.remaining > 0 {
			return nil, 0, nil
		}
		p.remaining -= n
		if p.remaining > 0 {
			return &Part{Kind: Body, Data: in[:n]}, n, nil
		}
		if p.state == inChunk {
			p.state = inChunkEnd
			return &Part{Kind: Body, Data: in[:n]}, n, nil
		}
		if n == 0 {
			p.state = inHead
			return &Part{Kind: End}, 0, nil
		}
		return &Part{Kind: Body, Data: in[:n]}, n, nil
	case inChunkEnd:
		if len(in) < 2 {
			return nil, 0, nil
		}
		if in[0] != '\r' || in[1] != '\n' {
			return nil, 0, messageError(400, "a chunk does not end where its size says")
		}
		p.state = inChunkSize
		return nil, 2, nil
	}
	line, used, err := parseLine(in)
	if used == 0 || err != nil {
		return nil, 0, err
	}
	if p.state == inTrailer {
		p.trailerBytes += used
		if p.trailerBytes > p.limits.HeadBytes {
			return nil, 0, messageError(431, "trailers over %d bytes", p.limits.HeadBytes)
		}
		if len(line) == 0 {
			p.state = inHead
			return &Part{Kind: End}, used, nil
		}
		return nil, used, nil
	}
	digits, _, _ := strings.Cut(string(line), ";")
	size, err := strconv.ParseUint(strings.TrimRight(digits, " \t"), 16, 31)
	if err != nil {
		return nil, 0, messageError(400, "chunk size %q is not a hexadecimal number", digits)
	}
	p.bodyBytes += int(size)
	if p.bodyBytes > p.limits.BodyBytes {
		return nil, 0, messageError(413, "body over %d bytes", p.limits.BodyBytes)
	}
	p.remaining, p.state = int(size), inChunk
	if size == 0 {
		p.state = inTrailer
	}
	return nil, used, nil
}

func parseLine(in []byte) (line []byte, used int, err error) {
	i := bytes.IndexByte(in, '\n')
	switch {
	case i < 0 && len(in) > maxLineBytes, i > maxLineBytes:
		return nil, 0, messageError(400, "a line of the body's framing is over %d bytes", maxLineBytes)
	case i < 0:
		return nil, 0, nil
	case i == 0 || in[i-1] != '\r':
		return nil, 0, messageError(400, "a line of the body's framing ends without a carriage return")
	}
	return in[:i-1], i + 1, nil
}

func (p *Parser) parseHead(in []byte) (*Part, int, error) {
	i := bytes.Index(in, []byte("\r\n\r\n"))
	if i < 0 && len(in) > p.limits.HeadBytes || i > p.limits.HeadBytes {
		return nil, 0, messageError(431, "head over %d bytes", p.limits.HeadBytes)
	}
	if i < 0 {
		return nil, 0, nil
	}
	head := in[:i+4]
	if err := validateHead(head[:i+2]); err != nil {
		return nil, 0, err
	}
	part, length, chunked := &Part{Kind: Head}, int64(0), false
	reader := bufio.NewReaderSize(bytes.NewReader(head), 512)
	if p.direction == Requests {
		request, err := http.ReadRequest(reader)
		if err != nil {
			return nil, 0, messageError(400, "request head: %v", err)
		}
		if request.ProtoMajor != 1 {
			return nil, 0, messageError(505, "protocol %s is not spoken here", request.Proto)
		}
		part.Request, length, chunked = request, max(0, request.ContentLength), len(request.TransferEncoding) > 0
	} else {
		response, err := http.ReadResponse(reader, nil)
		if err != nil {
			return nil, 0, messageError(502, "answer's head: %v", err)
		}
		part.Response, length, chunked = response, response.ContentLength, len(response.TransferEncoding) > 0
		// A client must be able to pass over interim answers that it did not ask for (RFC 9110, section 15.2);
		// after a change of protocol the rest would be no HTTP.
		if response.StatusCode < 200 && response.StatusCode != http.StatusSwitchingProtocols && p.interimResponses < maxInterimResponses {
			p.interimResponses++
			return nil, len(head), nil
		}
		p.interimResponses = 0
		if response.StatusCode < 200 {
			return nil, 0, messageError(502, "interim answer %d was not asked for", response.StatusCode)
		}
		if length < 0 && !chunked && response.StatusCode != http.StatusNoContent {
			// Its end could not be told from a break.
			return nil, 0, messageError(502, "answer has neither a length nor chunks")
		}
	}
	if length > int64(p.limits.BodyBytes) {
		return nil, 0, messageError(413, "body over %d bytes", p.limits.BodyBytes)
	}
	p.remaining, p.bodyBytes, p.trailerBytes, p.state = int(max(0, length)), 0, 0, inBody
	if chunked {
		p.state = inChunkSize
	}
	return part, len(head), nil
}

// validateHead refuses what two parties may read differently. Head ends with the last line's end.
func validateHead(head []byte) error {
	lengths, codings := 0, 0
	for n, line := range bytes.Split(head[:len(head)-2], []byte("\r\n")) {
		if bytes.ContainsAny(line, "\r\n\x00") {
			return messageError(400, "head line %d has a stray line end or a zero byte", n+1)
		}
		if n == 0 {
			continue
		}
		if len(line) == 0 || line[0] == ' ' || line[0] == '\t' {
			return messageError(400, "head line %d goes on from the one before", n+1)
		}
		name, value, ok := bytes.Cut(line, []byte(":"))
		if !ok || bytes.ContainsAny(name, " \t") {
			return messageError(400, "head line %d is not a field", n+1)
		}
		switch strings.ToLower(string(name)) {
		case "content-length":
			lengths++
			for _, c := range bytes.TrimSpace(value) {
				if c < '0' || c > '9' {
					return messageError(400, "content length %q is not a number", bytes.TrimSpace(value))
				}
			}
		case "transfer-encoding":
			codings++
			if !strings.EqualFold(string(bytes.TrimSpace(value)), "chunked") {
				return messageError(501, "transfer encoding %q is not spoken here", bytes.TrimSpace(value))
			}
		}
	}
	if lengths > 1 || codings > 1 || lengths+codings > 1 {
		return messageError(400, "more than one length: %d content lengths, %d transfer encodings", lengths, codings)
	}
	return nil
}
