package edge

import (
	"errors"
	"sync/atomic"
)

// minResponseBuffer is the number of bytes that each incomplete response may have, whatever the others use.
const minResponseBuffer = 16 << 10

// errResponsesTooLarge means that the incomplete responses of all engines together exceed their limit. The error text may be sent
// to a client.
var errResponsesTooLarge = errors.New("the answers of all engines are over their bound")

// responseBuffer counts the bytes of all incomplete responses of engines. It is safe for concurrent use.
type responseBuffer struct {
	maxBytes int64
	used     atomic.Int64
}

// responseShare is the part of a responseBuffer that one connection uses. Only its poller calls set; release may run at the same
// time, after the connection was closed.
type responseShare struct {
	buffer *responseBuffer
	bytes  atomic.Int64
}

// set sets the bytes that the connection uses, and returns an error if it has to give them up.
func (s *responseShare) set(bytes int) error {
	growth := int64(bytes) - s.bytes.Swap(int64(bytes))
	if used := s.buffer.used.Add(growth); growth > 0 && bytes > minResponseBuffer && used > s.buffer.maxBytes {
		return errResponsesTooLarge
	}
	return nil
}

// release returns all bytes.
func (s *responseShare) release() { s.buffer.used.Add(-s.bytes.Swap(0)) }
