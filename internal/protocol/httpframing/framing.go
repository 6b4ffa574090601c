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

// Side says which messages a connection carries towards this program.
type Side uint8

const (
	Requests Side = iota
	Answers
)

// Bounds are the most bytes that one head and one body may have.
type Bounds struct{ Head, Body int }

// Kind is what a piece is.
type Kind uint8

const (
	Head Kind = iota
	Body
	End
)

// Piece is one step of a message. Data is only valid until the next Feed.
type Piece struct {
	Kind    Kind
	Request *http.Request
	Answer  *http.Response
	Data    []byte
}

// Fault says why a message is refused, and with which status a server should say so.
type Fault struct {
	Status int
	What   string
}

func (f *Fault) Error() string { return f.What }

func fault(status int, format string, args ...any) error {
	return &Fault{status, fmt.Sprintf(format, args...)}
}

type place uint8

const (
	inHead place = iota
	inBody
	inChunkSize
	inChunk
	inChunkEnd
	inTrailer
)

// A chunk's size line and a trailer line are bounded by this: sixteen digits and some extension.
const lineBound = 1024

// Cutter holds what has been read of the present message. The zero value is not useful: see New.
type Cutter struct {
	side    Side
	bounds  Bounds
	at      place
	rest    []byte // read, not yet cut
	left    int    // bytes of body or chunk still to come
	body    int    // bytes of body so far
	trailer int
	interim int // answers that went before the one that is meant
	broken  error
}

// The most interim answers before one that is meant; common servers send one or two.
const mostInterim = 16

// New makes a cutter for one connection.
func New(side Side, bounds Bounds) *Cutter { return &Cutter{side: side, bounds: bounds} }

// Between is whether no message is under way and nothing unread is left, so that the connection may be kept.
func (c *Cutter) Between() bool { return c.at == inHead && len(c.rest) == 0 && c.broken == nil }

// Held is how many bytes wait here.
func (c *Cutter) Held() int { return len(c.rest) }

// Feed takes the next bytes. After an error the connection is of no further use.
func (c *Cutter) Feed(data []byte) (pieces []Piece, err error) {
	if c.broken != nil {
		return nil, c.broken
	}
	c.rest = append(c.rest, data...)
	in := c.rest
	for err == nil {
		var piece *Piece
		var used int
		piece, used, err = c.cut(in)
		in = in[used:]
		if piece != nil {
			pieces = append(pieces, *piece)
		}
		if used == 0 && piece == nil {
			break
		}
	}
	// What was cut is still shown by the pieces, so the rest goes to a place of its own.
	c.rest = bytes.Clone(in)
	c.broken = err
	return pieces, err
}

func (c *Cutter) cut(in []byte) (*Piece, int, error) {
	switch c.at {
	case inHead:
		return c.cutHead(in)
	case inBody, inChunk:
		n := min(len(in), c.left)
		if n == 0 && c.left > 0 {
			return nil, 0, nil
		}
		c.left -= n
		if c.left > 0 {
			return &Piece{Kind: Body, Data: in[:n]}, n, nil
		}
		if c.at == inChunk {
			c.at = inChunkEnd
			return &Piece{Kind: Body, Data: in[:n]}, n, nil
		}
		if n == 0 {
			c.at = inHead
			return &Piece{Kind: End}, 0, nil
		}
		return &Piece{Kind: Body, Data: in[:n]}, n, nil
	case inChunkEnd:
		if len(in) < 2 {
			return nil, 0, nil
		}
		if in[0] != '\r' || in[1] != '\n' {
			return nil, 0, fault(400, "a chunk does not end where its size says")
		}
		c.at = inChunkSize
		return nil, 2, nil
	}
	line, used, err := cutLine(in)
	if used == 0 || err != nil {
		return nil, 0, err
	}
	if c.at == inTrailer {
		c.trailer += used
		if c.trailer > c.bounds.Head {
			return nil, 0, fault(431, "trailers over %d bytes", c.bounds.Head)
		}
		if len(line) == 0 {
			c.at = inHead
			return &Piece{Kind: End}, used, nil
		}
		return nil, used, nil
	}
	digits, _, _ := strings.Cut(string(line), ";")
	size, err := strconv.ParseUint(strings.TrimRight(digits, " \t"), 16, 31)
	if err != nil {
		return nil, 0, fault(400, "chunk size %q is not a hexadecimal number", digits)
	}
	c.body += int(size)
	if c.body > c.bounds.Body {
		return nil, 0, fault(413, "body over %d bytes", c.bounds.Body)
	}
	c.left, c.at = int(size), inChunk
	if size == 0 {
		c.at = inTrailer
	}
	return nil, used, nil
}

func cutLine(in []byte) (line []byte, used int, err error) {
	i := bytes.IndexByte(in, '\n')
	switch {
	case i < 0 && len(in) > lineBound, i > lineBound:
		return nil, 0, fault(400, "a line of the body's framing is over %d bytes", lineBound)
	case i < 0:
		return nil, 0, nil
	case i == 0 || in[i-1] != '\r':
		return nil, 0, fault(400, "a line of the body's framing ends without a carriage return")
	}
	return in[:i-1], i + 1, nil
}

func (c *Cutter) cutHead(in []byte) (*Piece, int, error) {
	i := bytes.Index(in, []byte("\r\n\r\n"))
	if i < 0 && len(in) > c.bounds.Head || i > c.bounds.Head {
		return nil, 0, fault(431, "head over %d bytes", c.bounds.Head)
	}
	if i < 0 {
		return nil, 0, nil
	}
	head := in[:i+4]
	if err := strict(head[:i+2]); err != nil {
		return nil, 0, err
	}
	piece, length, chunked := &Piece{Kind: Head}, int64(0), false
	reader := bufio.NewReaderSize(bytes.NewReader(head), 512)
	if c.side == Requests {
		req, err := http.ReadRequest(reader)
		if err != nil {
			return nil, 0, fault(400, "request head: %v", err)
		}
		if req.ProtoMajor != 1 {
			return nil, 0, fault(505, "protocol %s is not spoken here", req.Proto)
		}
		piece.Request, length, chunked = req, max(0, req.ContentLength), len(req.TransferEncoding) > 0
	} else {
		ans, err := http.ReadResponse(reader, nil)
		if err != nil {
			return nil, 0, fault(502, "answer's head: %v", err)
		}
		piece.Answer, length, chunked = ans, ans.ContentLength, len(ans.TransferEncoding) > 0
		// A client must be able to pass over interim answers that it did not ask for (RFC 9110, section 15.2);
		// after a change of protocol the rest would be no HTTP.
		if ans.StatusCode < 200 && ans.StatusCode != http.StatusSwitchingProtocols && c.interim < mostInterim {
			c.interim++
			return nil, len(head), nil
		}
		c.interim = 0
		if ans.StatusCode < 200 {
			return nil, 0, fault(502, "interim answer %d was not asked for", ans.StatusCode)
		}
		if length < 0 && !chunked && ans.StatusCode != http.StatusNoContent {
			// Its end could not be told from a break.
			return nil, 0, fault(502, "answer has neither a length nor chunks")
		}
	}
	if length > int64(c.bounds.Body) {
		return nil, 0, fault(413, "body over %d bytes", c.bounds.Body)
	}
	c.left, c.body, c.trailer, c.at = int(max(0, length)), 0, 0, inBody
	if chunked {
		c.at = inChunkSize
	}
	return piece, len(head), nil
}

// strict refuses what two parties may read differently. Head ends with the last line's end.
func strict(head []byte) error {
	lengths, codings := 0, 0
	for n, line := range bytes.Split(head[:len(head)-2], []byte("\r\n")) {
		if bytes.ContainsAny(line, "\r\n\x00") {
			return fault(400, "head line %d has a stray line end or a zero byte", n+1)
		}
		if n == 0 {
			continue
		}
		if len(line) == 0 || line[0] == ' ' || line[0] == '\t' {
			return fault(400, "head line %d goes on from the one before", n+1)
		}
		name, value, ok := bytes.Cut(line, []byte(":"))
		if !ok || bytes.ContainsAny(name, " \t") {
			return fault(400, "head line %d is not a field", n+1)
		}
		switch strings.ToLower(string(name)) {
		case "content-length":
			lengths++
			for _, c := range bytes.TrimSpace(value) {
				if c < '0' || c > '9' {
					return fault(400, "content length %q is not a number", bytes.TrimSpace(value))
				}
			}
		case "transfer-encoding":
			codings++
			if !strings.EqualFold(string(bytes.TrimSpace(value)), "chunked") {
				return fault(501, "transfer encoding %q is not spoken here", bytes.TrimSpace(value))
			}
		}
	}
	if lengths > 1 || codings > 1 || lengths+codings > 1 {
		return fault(400, "more than one length: %d content lengths, %d transfer encodings", lengths, codings)
	}
	return nil
}
