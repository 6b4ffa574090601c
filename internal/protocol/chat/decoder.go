package chat

import (
	"bytes"
	"errors"
)

// ErrEventTooLong reports an event that is over the decoder's limit.
var ErrEventTooLong = errors.New("stream event is over its size limit")

// EventDecoder splits a stream into events. It keeps only the data field; it skips other fields, and also comments if OnComment is
// not set.
type EventDecoder struct {
	OnComment func(text []byte) // callback for each comment, which may retain the slice; optional

	maxBytes int
	line     []byte // bytes of the current line so far
	data     []byte // data of the current event
	hasData  bool   // the current event has a data field
	afterCR  bool   // the last byte was a carriage return; a line feed after it belongs to the same line end
	started  bool   // the first line, which may have a byte order mark, was handled
	err      error
}

// NewEventDecoder returns a decoder that holds at most maxBytes bytes of one event.
func NewEventDecoder(maxBytes int) *EventDecoder { return &EventDecoder{maxBytes: maxBytes} }

// Feed decodes the next bytes and calls emit with the data of each complete event; emit may retain the slice. After an error
// the decoder accepts no more bytes.
func (d *EventDecoder) Feed(in []byte, emit func(data []byte)) error {
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

// Buffered returns the number of bytes of the current event that the decoder holds.
func (d *EventDecoder) Buffered() int { return len(d.line) + len(d.data) }

// AtBoundary reports whether the decoder is between two events.
func (d *EventDecoder) AtBoundary() bool { return len(d.line) == 0 && !d.hasData && d.err == nil }

func (d *EventDecoder) appendToLine(more []byte) {
	if len(d.line)+len(d.data)+len(more) > d.maxBytes {
		d.err = ErrEventTooLong
		return
	}
	d.line = append(d.line, more...)
}

func (d *EventDecoder) handleLine(emit func([]byte)) {
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
