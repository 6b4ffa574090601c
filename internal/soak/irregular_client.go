package soak

import (
	"bufio"
	"errors"
	"io"
	"net"
	"net/http"
	"strings"
	"time"
)

// partialRequestTimeout is the time limit for an edge to respond to a partial request or to close the connection: 3 s, and 1 s for
// a loaded machine.
const partialRequestTimeout = 3*time.Second + time.Second

// Kinds under which the report counts the responses to partial and to pipelined requests.
const (
	kindPartial   = "half"
	kindPipelined = "pipelined"
)

// sendPartialRequest sends a part of a request and stays connected. The edge must respond with an error or close the connection.
func (c *client) sendPartialRequest(p *edgeProcess) {
	conn, err := net.DialTimeout("tcp", p.addr, connectTimeout)
	if err != nil {
		return
	}
	text := c.newRequest(p).encode()
	length := 1 + c.random.IntN(len(text)-1)
	preceding := ""
	if c.random.IntN(2) == 0 { // A complete request precedes the partial one.
		preceding = c.newRequest(p).encode()
	}
	c.soak.irregularRequests.Go(func() {
		defer conn.Close()
		if _, err := io.WriteString(conn, preceding+text[:length]); err != nil {
			return
		}
		sent := time.Now()
		timeout := partialRequestTimeout
		if preceding != "" {
			timeout += maxRequestTimeout + time.Second // The additional time is for the response to the preceding request.
		}
		conn.SetDeadline(sent.Add(timeout))
		responses, err := io.ReadAll(conn)
		if errors.Is(asDeadlineExceeded(err), errDeadlineExceeded) && !p.wasDown(sent, time.Now()) {
			c.soak.recordViolation("%s: partial request (%d bytes, after a complete one: %v) got neither an error nor a close within %v; got %q",
				p.name(), length, preceding != "", timeout, responses)
		}
		c.soak.countResponse(kindPartial)
	})
}

// sendPipelinedRequests sends two to five requests at once. The edge must respond to all of them in order.
func (c *client) sendPipelinedRequests(p *edgeProcess) {
	conn, err := net.DialTimeout("tcp", p.addr, connectTimeout)
	if err != nil {
		return
	}
	var requests []request
	var text strings.Builder
	for range 2 + c.random.IntN(4) {
		r := c.newRequest(p)
		r.timeout = maxRequestTimeout
		requests = append(requests, r)
		text.WriteString(r.encode())
	}
	c.soak.irregularRequests.Go(func() {
		defer conn.Close()
		sent := time.Now()
		conn.SetDeadline(sent.Add(time.Duration(len(requests)) * 2 * maxRequestTimeout))
		if _, err := io.WriteString(conn, text.String()); err != nil {
			return
		}
		c.readPipelinedResponses(p, conn, requests, sent)
	})
}

// readPipelinedResponses reads the responses to pipelined requests, up to a response that ends the connection.
func (c *client) readPipelinedResponses(p *edgeProcess, conn net.Conn, requests []request, sent time.Time) {
	in := bufio.NewReader(conn)
	for i, r := range requests {
		response, err := http.ReadResponse(in, nil)
		if err != nil {
			if !p.wasDown(sent, time.Now()) {
				c.soak.recordViolation("%s: %d of %d pipelined requests have no response: %v", r.id, len(requests)-i, len(requests), err)
			}
			return
		}
		_, err = io.Copy(io.Discard, response.Body)
		response.Body.Close()
		if err != nil || response.Close {
			return // The edge closes the connection after a broken stream, without responses to the later requests.
		}
	}
	c.soak.countResponse(kindPipelined)
}
