package chat

import (
	"bytes"
	"errors"
	"fmt"
	"net/http"
	"strings"
)

// Done is the data of the event that ends a stream.
const Done = "[DONE]"

// AppendEvent writes one event of a stream with this data. Line ends in data become lines of data, as the
// event-stream format has it (HTML standard, section 9.2).
func AppendEvent(to []byte, data []byte) []byte {
	for line := range bytes.Lines(normalizeLineEnds(data)) {
		to = append(to, "data: "...)
		to = append(append(to, bytes.TrimSuffix(line, []byte("\n"))...), '\n')
	}
	if len(data) == 0 {
		to = append(to, "data: \n"...)
	} else if data[len(data)-1] == '\n' || data[len(data)-1] == '\r' {
		to = append(to, "data: \n"...)
	}
	return append(to, '\n')
}

// EncodeChunk frames one event as a chunk of a streamed answer.
func EncodeChunk(event []byte) []byte {
	data := AppendEvent(nil, event)
	return append(append(fmt.Appendf(make([]byte, 0, len(data)+16), "%x\r\n", len(data)), data...), '\r', '\n')
}

// IsEventStream is whether an answer's head announces a stream of events.
func IsEventStream(header http.Header) bool {
	return strings.HasPrefix(header.Get("Content-Type"), "text/event-stream")
}

// normalizeLineEnds makes all line ends line feeds.
func normalizeLineEnds(data []byte) []byte {
	if bytes.IndexByte(data, '\r') < 0 {
		return data
	}
	return bytes.ReplaceAll(bytes.ReplaceAll(data, []byte("\r\n"), []byte("\n")), []byte("\r"), []byte("\n"))
}

// ErrEventTooLong says that an event is over the decoder's bound.
var ErrEventTooLong = errors.New("event of the stream is over its bound")

// Decoder cuts a stream of events. Only the data field is kept; other fields are passed over, and comments
// where nobody wants them.
type Decoder struct {
	OnComment func(text []byte) // is told of comments, if set; the slice is its own to keep

	maxBytes int
	line     []byte // of the line under way
	data     []byte // of the event under way
	hasData  bool   // the event has a data field
	afterCR  bool   // the last byte was a carriage return: a line feed that follows belongs to it
	started  bool   // the byte order mark, if any, is past
	err      error
}

// NewDecoder makes a decoder that holds at most bound bytes of one event.
func NewDecoder(maxBytes int) *Decoder { return &Decoder{maxBytes: maxBytes} }

// Feed takes bytes and hands each whole event's data to emit; the slice is emit's to keep.
func (d *Decoder) Feed(in []byte, emit func(data []byte)) error {
	for len(in) > 0 && d.err == nil {
		if d.afterCR {
			d.afterCR = false
			if in[0] == '\n' {
				in = in[1:]
				continue
			}
		}
		i := bytes.IndexAny(in, "\r\n")
		if i < 0 {
			d.appendToLine(in)
			break
		}
		d.appendToLine(in[:i])
		d.afterCR = in[i] == '\r'
		in = in[i+1:]
		if d.err == nil {
			d.handleLine(emit)
		}
	}
	return d.err
}

// AtBoundary is whether no event is under way.
func (d *Decoder) AtBoundary() bool { return len(d.line) == 0 && !d.hasData && d.err == nil }

func (d *Decoder) appendToLine(more []byte) {
	if len(d.line)+len(d.data)+len(more) > d.maxBytes {
		d.err = ErrEventTooLong
		return
	}
	d.line = append(d.line, more...)
}

func (d *Decoder) handleLine(emit func([]byte)) {
	line := d.line
	if !d.started {
		d.started, line = true, bytes.TrimPrefix(line, []byte("\xef\xbb\xbf"))
	}
	defer func() { d.line = d.line[:0] }()
	if len(line) == 0 {
		if d.hasData {
			emit(bytes.Clone(d.data))
		}
		d.data, d.hasData = d.data[:0], false
		return
	}
	if line[0] == ':' && d.OnComment != nil {
		d.OnComment(bytes.Clone(line[1:]))
		return
	}
	name, value, _ := bytes.Cut(line, []byte(":"))
	if string(name) != "data" {
		return
	}
	if d.hasData {
		d.data = append(d.data, '\n')
	}
	d.hasData = true
	d.data = append(d.data, bytes.TrimPrefix(value, []byte(" "))...)
}
