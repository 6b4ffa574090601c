package httpframing

import (
	"bytes"
	"net/http"
	"strconv"
	"strings"
)

// maxLineBytes bounds a chunk-size line and a trailer line. A size line has up to sixteen digits and possibly an extension.
const maxLineBytes = 1024

// parseData parses the available bytes of a chunk, or of a body with a content length.
func (p *Parser) parseData(in []byte) (*Part, int, error) {
	n := min(len(in), p.remaining)
	switch {
	case n == 0 && p.remaining > 0:
		return nil, 0, nil
	case n == 0:
		p.state = inHead
		return &Part{Kind: End}, 0, nil
	}
	p.remaining -= n
	if p.remaining == 0 && p.state == inChunk {
		p.state = inChunkEnd
	}
	return &Part{Kind: Body, Data: in[:n]}, n, nil
}

func (p *Parser) parseChunkEnd(in []byte) (*Part, int, error) {
	if len(in) < 2 {
		return nil, 0, nil
	}
	if in[0] != '\r' || in[1] != '\n' {
		return nil, 0, messageError(http.StatusBadRequest, "a chunk does not end where its size says")
	}
	p.state = inChunkSize
	return nil, 2, nil
}

func (p *Parser) parseTrailerLine(line []byte, used int) (*Part, int, error) {
	p.trailerBytes += used
	if p.trailerBytes > p.limits.HeadBytes {
		return nil, 0, messageError(http.StatusRequestHeaderFieldsTooLarge, "trailers over %d bytes", p.limits.HeadBytes)
	}
	if len(line) == 0 {
		p.state = inHead
		return &Part{Kind: End}, used, nil
	}
	return nil, used, nil
}

func (p *Parser) parseChunkSize(line []byte, used int) (*Part, int, error) {
	digits, _, _ := strings.Cut(string(line), ";")
	size, err := strconv.ParseUint(strings.TrimRight(digits, " \t"), 16, 31)
	if err != nil {
		return nil, 0, messageError(http.StatusBadRequest, "chunk size %q is not a hexadecimal number", digits)
	}
	p.bodyBytes += int(size)
	if p.bodyBytes > p.limits.BodyBytes {
		return nil, 0, p.bodyTooLarge()
	}
	p.remaining, p.state = int(size), inChunk
	if size == 0 {
		p.state = inTrailer
	}
	return nil, used, nil
}

func (p *Parser) bodyTooLarge() error {
	return messageError(http.StatusRequestEntityTooLarge, "body over %d bytes", p.limits.BodyBytes)
}

// parseLine returns the first line without its line end. If the line is incomplete, it consumes no bytes.
func parseLine(in []byte) (line []byte, used int, err error) {
	i := bytes.IndexByte(in, '\n')
	switch {
	case i < 0 && len(in) > maxLineBytes, i > maxLineBytes:
		return nil, 0, messageError(http.StatusBadRequest, "a line of the body's framing is over %d bytes", maxLineBytes)
	case i < 0:
		return nil, 0, nil
	case i == 0 || in[i-1] != '\r':
		return nil, 0, messageError(http.StatusBadRequest, "a line of the body's framing ends without a carriage return")
	}
	return in[:i-1], i + 1, nil
}
