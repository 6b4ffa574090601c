// Package httpframing splits the bytes of one HTTP/1.1 connection into heads, parts of bodies and ends. It does no I/O.
//
// Heads are decoded by net/http; what this package adds is the strictness that a router needs between two parties that may
// see a message differently (RFC 9112, section 11.2): one length or chunked, never both, never two.
package httpframing

import "bytes"

// parserState is the part of a message that comes next.
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
	remaining        int // bytes of the body or chunk still to come
	bodyBytes        int // of the present message so far, by its chunk sizes
	trailerBytes     int
	interimResponses int // before the final one
	err              error
}

// NewParser makes a parser for one connection.
func NewParser(direction Direction, limits Limits) *Parser {
	return &Parser{direction: direction, limits: limits}
}

// AtBoundary is whether no message is incomplete and no bytes are left over, so that the connection can be reused.
func (p *Parser) AtBoundary() bool { return p.state == inHead && len(p.unparsed) == 0 && p.err == nil }

// Buffered is how many bytes are left over.
func (p *Parser) Buffered() int { return len(p.unparsed) }

// Feed parses the next bytes. After an error, which is a *MessageError, the connection is of no further use.
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
	// The parts refer to the bytes that were parsed, so the others need memory of their own.
	p.unparsed = bytes.Clone(in)
	p.err = err
	return parts, err
}

// next parses one step. It uses no bytes and returns no part where more bytes are needed.
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
