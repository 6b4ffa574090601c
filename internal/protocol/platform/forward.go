package platform

import (
	"bytes"
	"fmt"
	"maps"
	"net/http"
	"slices"
	"strings"
	"time"

	"sandcourse/internal/protocol"
)

// forwardedRequest has the parts of a client's request that are forwarded to engines unchanged.
type forwardedRequest struct {
	requestLine  string // method and target
	headerFields []byte // encoded header fields
	body         []byte
}

// notForwarded lists the hop-by-hop header fields (RFC 9110, section 7.6.1) and the fields that the node writes itself.
var notForwarded = map[string]bool{"Connection": true, "Keep-Alive": true, "Proxy-Connection": true,
	"Proxy-Authenticate": true, "Proxy-Authorization": true, "Te": true, "Trailer": true, "Transfer-Encoding": true,
	"Upgrade": true, "Expect": true, "Host": true, "Content-Length": true, HeaderRequestID: true, HeaderTimeout: true}

// forwardedFields encodes the header fields that are forwarded to engines, sorted by name. Engines may need fields that the
// node does not use itself, such as an idempotency key.
func forwardedFields(header http.Header) (out []byte) {
	hopByHop := map[string]bool{}
	for _, listed := range header.Values("Connection") {
		for name := range strings.SplitSeq(listed, ",") {
			hopByHop[http.CanonicalHeaderKey(strings.TrimSpace(name))] = true
		}
	}
	for _, name := range slices.Sorted(maps.Keys(header)) {
		if notForwarded[name] || hopByHop[name] {
			continue
		}
		for _, value := range header[name] {
			out = fmt.Appendf(out, "%s: %s\r\n", name, value)
		}
	}
	return bytes.Clone(out) // Without the spare capacity, as the request may have to wait.
}

// minForwardedTimeout is the shortest timeout that is sent to engines.
const minForwardedTimeout = time.Millisecond

// encode encodes the request to an engine. Prefill and decode requests have the same form.
func (f *forwardedRequest) encode(requestID string, to protocol.Target, remaining time.Duration) []byte {
	b := make([]byte, 0, len(f.headerFields)+len(f.body)+512)
	b = fmt.Appendf(b, "%s HTTP/1.1\r\nHost: %s\r\n%s: %s\r\n%s: %.3f\r\nContent-Length: %d\r\n", f.requestLine, to.Address,
		HeaderRequestID, requestID, HeaderTimeout, max(minForwardedTimeout, remaining).Seconds(), len(f.body))
	b = append(append(b, f.headerFields...), "\r\n"...)
	return append(b, f.body...)
}
