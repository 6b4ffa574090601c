package chat

import (
	"bytes"
	"fmt"
	"net/http"
	"strings"
)

// Done is the data of the event that ends a stream.
const Done = "[DONE]"

// AppendEvent appends one event with the given data to a stream. As the event-stream format requires (HTML standard, section
// 9.2), each line of the data becomes a data field of its own.
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

// IsEventStream reports whether the content type in the header of a response is that of an event stream.
func IsEventStream(header http.Header) bool {
	return strings.HasPrefix(header.Get("Content-Type"), "text/event-stream")
}

// normalizeLineEnds replaces all line ends by line feeds.
func normalizeLineEnds(data []byte) []byte {
	if bytes.IndexByte(data, '\r') < 0 {
		return data
	}
	return bytes.ReplaceAll(bytes.ReplaceAll(data, []byte("\r\n"), []byte("\n")), []byte("\r"), []byte("\n"))
}
