package chat

import (
	"bytes"
	"fmt"
	"net/http"
	"strings"
)

// Done is the data of the event that ends a stream.
const Done = "[DONE]"

// AppendEvent appends one event of a stream with this data. A line end in the data begins a new data line, as the
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

// EncodeChunk frames one event as an HTTP chunk of a streamed response.
func EncodeChunk(event []byte) []byte {
	data := AppendEvent(nil, event)
	return append(append(fmt.Appendf(make([]byte, 0, len(data)+16), "%x\r\n", len(data)), data...), '\r', '\n')
}

// IsEventStream is whether the header of a response announces a stream of events.
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
