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

// partialRequestTimeout is within what an edge has to answer or close a partial request: 3 s, and what a loaded machine adds.
const partialRequestTimeout = 3*time.Second + time.Second

// The kinds under which the report counts the responses to these clients.
const (
	kindPartial   = "half"
	kindPipelined = "pipelined"
)

// sendPartialRequest sends a part of a request and stays connected: the edge has to respond with an error or to close.
func (c *client) sendPartialRequest(p *edgeProcess) {
	conn, err := net.DialTimeout("tcp", p.addr, connectTimeout)
	if err != nil {
		return
	}
	text := c.newRequest(p).text()
	length := 1 + c.random.IntN(len(text)-1)
	before := ""
	if c.random.IntN(2) == 0 { // behind a request that is served
		before = c.newRequest(p).text()
	}
	c.soak.auxiliary.Go(func() {
		defer conn.Close()
		if _, err := io.WriteString(conn, before+text[:length]); err != nil {
			return
		}
		sent := time.Now()
		timeout := partialRequestTimeout
		if before != "" {
			timeout += longestDeadline + time.Second // until the one before it is served
		}
		conn.SetDeadline(sent.Add(timeout))
		responses, err := io.ReadAll(conn)
		if errors.Is(asDeadlineExceeded(err), errDeadlineExceeded) && !p.wasDown(sent, time.Now()) {
			c.soak.violate("%s: half a request (%d bytes, behind another: %v) has no error and no close after %v; got %q",
				p.name(), length, before != "", timeout, responses)
		}
		c.soak.countResponse(kindPartial)
	})
}

// sendPipelinedRequests sends some requests at once. The edge has to answer all, in their order.
func (c *client) sendPipelinedRequests(p *edgeProcess) {
	conn, err := net.DialTimeout("tcp", p.addr, connectTimeout)
	if err != nil {
		return
	}
	var requests []request
	var text strings.Builder
	for range 2 + c.random.IntN(4) {
		r := c.newRequest(p)
		r.timeout = longestDeadline
		requests = append(requests, r)
		text.WriteString(r.text())
	}
	c.soak.auxiliary.Go(func() {
		defer conn.Close()
		sent := time.Now()
		conn.SetDeadline(sent.Add(time.Duration(len(requests)) * 2 * longestDeadline))
		if _, err := io.WriteString(conn, text.String()); err != nil {
			return
		}
		c.readPipelinedResponses(p, conn, requests, sent)
	})
}

// readPipelinedResponses reads the responses to requests that were sent at once, up to one that ends the connection.
func (c *client) readPipelinedResponses(p *edgeProcess, conn net.Conn, requests []request, sent time.Time) {
	in := bufio.NewReader(conn)
	for i, r := range requests {
		response, err := http.ReadResponse(in, nil)
		if err != nil {
			if !p.wasDown(sent, time.Now()) {
				c.soak.violate("%s: %d of %d requests sent at once have no answer: %v", r.id, len(requests)-i, len(requests), err)
			}
			return
		}
		_, err = io.Copy(io.Discard, response.Body)
		response.Body.Close()
		if err != nil || response.Close {
			return // a stream broke: its connection ends with the requests that wait behind it
		}
	}
	c.soak.countResponse(kindPipelined)
}
