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

// partialCloseTimeout is the time limit for an edge to close the connection of a partial request after that: an edge gives the client
// 0.5 s to read the error.
const partialCloseTimeout = time.Second

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
	preceding, responses := "", 1
	if c.random.IntN(2) == 0 { // A complete request precedes the partial one.
		preceding, responses = c.newRequest(p).encode(), 2
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
		in := bufio.NewReader(conn)
		conn.SetDeadline(sent.Add(timeout))
		if exceedsDeadline(skipResponses(in, responses)) && !p.wasDown(sent, time.Now()) {
			c.soak.recordViolation("%s: partial request (%d bytes, after a complete one: %v) got neither an error nor a close within %v",
				p.name(), length, preceding != "", timeout)
		}
		conn.SetDeadline(sent.Add(timeout + partialCloseTimeout))
		if _, err := io.Copy(io.Discard, in); exceedsDeadline(err) && !p.wasDown(sent, time.Now()) {
			c.soak.recordViolation("%s: the connection of a partial request (%d bytes, after a complete one: %v) was not closed within %v",
				p.name(), length, preceding != "", timeout+partialCloseTimeout)
		}
		c.soak.countResponse(kindPartial)
	})
}

// skipResponses reads a number of responses. It returns an error if the connection ends before that.
func skipResponses(in *bufio.Reader, count int) error {
	for range count {
		response, err := http.ReadResponse(in, nil)
		if err != nil {
			return err
		}
		_, err = io.Copy(io.Discard, response.Body)
		response.Body.Close()
		if err != nil {
			return err
		}
	}
	return nil
}

func exceedsDeadline(err error) bool { return errors.Is(asDeadlineExceeded(err), errDeadlineExceeded) }

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
