// Package httpframing splits the bytes of one HTTP/1.1 connection into heads, body parts and ends of messages. It does no I/O.
//
// Heads are decoded by net/http. This package is stricter, because the parties before and after a router may interpret an
// ambiguous message differently (RFC 9112, section 11.2): it rejects a message with two content lengths, or with both a
// content length and chunked encoding.
package httpframing

import "bytes"

// parserState is the part of a message that the parser expects next.
type parserState uint8

const (
	inHead parserState = iota
	inBody
	inChunkSize
	inChunk
	inChunkEnd
	inTrailer
)

// Parser splits the messages of one connection.
type Parser struct {
	direction        Direction
	limits           Limits
	state            parserState
	unparsed         []byte
	remaining        int // bytes of the body or chunk that have not arrived
	bodyBytes        int // sum of the chunk sizes of the current message so far
	trailerBytes     int
	interimResponses int // interim responses since the last final response
	err              error
}

// NewParser returns a parser for one connection.
func NewParser(direction Direction, limits Limits) *Parser {
	return &Parser{direction: direction, limits: limits}
}

// AtBoundary reports whether the parser is between two messages and has no buffered bytes, so that the connection can be
// reused.
func (p *Parser) AtBoundary() bool { return p.state == inHead && len(p.unparsed) == 0 && p.err == nil }

// Buffered returns the number of bytes that are buffered and not parsed yet.
func (p *Parser) Buffered() int { return len(p.unparsed) }

// Feed parses the next bytes. Errors are of type *MessageError; after an error the connection must not be used again.
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
	// The parts share memory with the parsed bytes, so the remaining bytes are copied before Feed appends to them.
	p.unparsed = bytes.Clone(in)
	p.err = err
	return parts, err
}

// next parses one step. If more bytes are needed, it consumes no bytes and returns no part.
func (p *Parser) next(in []byte) (part *Part, used int, err error) {
	switch p.state {
	case inHead:
		return p.parseHead(in)
	case inBody, inChunk:
		return p.parseData(in)
	case inChunkEnd:
		return p.parseChunkEnd(in)
	}
	line, used, err := parseLine(in)
	switch {
	case used == 0 || err != nil:
		return nil, 0, err
	case p.state == inTrailer:
		return p.parseTrailerLine(line, used)
	}
	return p.parseChunkSize(line, used)
}
