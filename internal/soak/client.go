package soak

import (
	"bufio"
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"strings"
	"time"

	"sandcourse/internal/audit"
	"sandcourse/internal/protocol/platform"
)

// longestDeadline is the longest time that a client waits for its first event.
const longestDeadline = 3 * time.Second

// incompleteRequestLimit is within what a client that sends no whole request is owed an error or a close, with what a loaded machine adds.
const incompleteRequestLimit = 3*time.Second + time.Second

// client asks one node after the other, as a front hands it over, and keeps a connection to each.
type client struct {
	run          *soakRun
	number       int
	random       *rand.Rand
	conns        map[*routerProcess]*clientConnection
	requestCount int
}

type clientConnection struct {
	conn net.Conn
	in   *bufio.Reader
	used bool
}

var classes = []string{"chat", "chat", "label", "alert"}

// work asks until the run ends.
func (c *client) work(end time.Time) {
	defer c.closeAll()
	for time.Now().Before(end) {
		n := c.run.routers[c.random.IntN(len(c.run.routers))]
		switch c.random.IntN(20) {
		case 0:
			c.incompleteRequest(n)
		case 1:
			c.pipelinedRequests(n)
		default:
			c.sendRequest(n)
		}
		time.Sleep(time.Duration(c.random.Int64N(int64(120 * time.Millisecond))))
	}
}

func (c *client) closeAll() {
	for _, conn := range c.conns {
		conn.conn.Close()
	}
}

func (c *client) connect(n *routerProcess) (*clientConnection, error) {
	if conn := c.conns[n]; conn != nil {
		return conn, nil
	}
	conn, err := net.DialTimeout("tcp", n.addr, time.Second)
	if err != nil {
		return nil, err
	}
	c.conns[n] = &clientConnection{conn: conn, in: bufio.NewReader(conn)}
	return c.conns[n], nil
}

func (c *client) closeConnection(n *routerProcess) {
	if conn := c.conns[n]; conn != nil {
		conn.conn.Close()
		delete(c.conns, n)
	}
}

// request is one request in the platform's form.
type request struct {
	name, class string
	wait        time.Duration
}

func (c *client) request(n *routerProcess) request {
	c.requestCount++
	class := classes[c.random.IntN(len(classes))]
	return request{name: fmt.Sprintf("%s-c%dq%d", n.name(), c.number, c.requestCount), class: class,
		wait: longestDeadline/3 + time.Duration(c.random.Int64N(int64(longestDeadline*2/3)))}
}

func (r request) text() string {
	body := `{"model":"chat","messages":[]}`
	return fmt.Sprintf("POST %s HTTP/1.1\r\nHost: x\r\n%s: %s\r\n%s: %s\r\n%s: s%s\r\n%s: %.3f\r\nContent-Length: %d\r\n\r\n%s",
		platform.CompletionsPath, platform.HeaderRequestID, r.name, platform.HeaderRequestClass, r.class, platform.HeaderAffinityKey, r.name[len(r.name)-2:],
		platform.HeaderTimeout, r.wait.Seconds(), len(body), body)
}

// sendRequest sends one request and judges its answer. One in ten clients leaves early. Where the close of a resting connection
// crosses it, it is sent once more on a new one.
func (c *client) sendRequest(n *routerProcess) {
	r := c.request(n)
	call := audit.ClientRecord{ClientRequestID: r.name, RequestID: r.name, Route: r.class, Edge: n.name(), Sent: time.Now()}
	call.Deadline = call.Sent.Add(r.wait)
	leaves := c.random.IntN(10) == 0
	for again := false; ; again = true {
		conn, err := c.connect(n)
		if err != nil {
			return // it was never taken
		}
		reused := conn.used
		conn.used = true
		conn.conn.SetDeadline(call.Deadline.Add(5 * time.Second))
		if leaves {
			conn.conn.SetDeadline(call.Sent.Add(time.Duration(c.random.Int64N(int64(r.wait)))))
		}
		_, err = io.WriteString(conn.conn, r.text())
		if err == nil {
			err = c.readResponse(conn, &call)
		}
		call.End = time.Now()
		if err != nil {
			c.closeConnection(n)
		}
		if call.Outcome == "" && reused && !again && !errors.Is(err, errTimeout) {
			continue // the close of a resting connection has crossed it
		}
		c.judgeResponse(n, &call, leaves, err)
		return
	}
}

var errTimeout = errors.New("the client's time is over")

// readResponse reads one answer; an error says that the connection serves no further use.
func (c *client) readResponse(conn *clientConnection, call *audit.ClientRecord) error {
	answer, err := http.ReadResponse(conn.in, nil)
	if err != nil {
		return timeout(err)
	}
	defer answer.Body.Close()
	call.OutcomeCount = 1
	first := make([]byte, 1)
	if _, err := io.ReadFull(answer.Body, first); err != nil && !errors.Is(err, io.EOF) {
		call.Outcome = audit.OutcomeErrored
		return timeout(err)
	}
	if answer.StatusCode == http.StatusOK {
		call.FirstToken = time.Since(call.Sent)
	}
	rest, err := io.ReadAll(answer.Body)
	switch {
	case answer.StatusCode == http.StatusOK && err == nil && strings.Contains(string(rest), "[DONE]"):
		call.Outcome = audit.OutcomeCompleted
	case answer.StatusCode == http.StatusOK && err == nil:
		call.Outcome, call.Reason = audit.OutcomeCompleted, "a stream without its end came with its last chunk"
		c.run.violate("%s: a stream without its end came with its last chunk: %q", call.ClientRequestID, rest)
	case answer.StatusCode == http.StatusOK:
		call.Outcome = audit.OutcomeErrored // the stream broke
	case answer.StatusCode == http.StatusServiceUnavailable || answer.StatusCode == http.StatusTooManyRequests:
		call.Outcome = audit.OutcomeShed
	default:
		call.Outcome = audit.OutcomeErrored
	}
	c.run.countResponse(fmt.Sprint(answer.StatusCode))
	if err != nil {
		return timeout(err)
	}
	if answer.Close {
		return errors.New("the node closes")
	}
	return nil
}

func timeout(err error) error {
	var netErr net.Error
	if errors.As(err, &netErr) && netErr.Timeout() {
		return errTimeout
	}
	return err
}

// judgeResponse notes how a call ended. A connection that broke without an answer has lost what was taken on it, unless its node
// was ending or not there.
func (c *client) judgeResponse(n *routerProcess, call *audit.ClientRecord, leaves bool, err error) {
	switch {
	case call.Outcome != "":
	case leaves:
		call.Outcome = audit.OutcomeAbandoned
	case n.wasAway(call.Sent, call.End):
		call.Outcome = audit.OutcomeAbandoned // a new connection may be closed unread then; an ending node's are judged by engines' records
		c.run.noteUnanswered(n, *call)
	default:
		call.Outcome, call.Reason = audit.OutcomeLost, fmt.Sprint(err)
	}
	c.run.log.RecordClient(*call)
}

// noteUnanswered keeps a call without an answer for the judge, unless its node was killed.
func (r *soakRun) noteUnanswered(n *routerProcess, call audit.ClientRecord) {
	if n.wasKilled(call.Sent, call.End) {
		return
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	r.unanswered = append(r.unanswered, call)
}

// incompleteRequest sends a part of a request and stays: an error or a close is owed to it.
func (c *client) incompleteRequest(n *routerProcess) {
	conn, err := net.DialTimeout("tcp", n.addr, time.Second)
	if err != nil {
		return
	}
	r := c.request(n)
	text := r.text()
	cut := 1 + c.random.IntN(len(text)-1)
	before := ""
	if c.random.IntN(2) == 0 { // behind a request that is served
		before = c.request(n).text()
	}
	c.run.auxiliary.Go(func() {
		defer conn.Close()
		if _, err := io.WriteString(conn, before+text[:cut]); err != nil {
			return
		}
		begun := time.Now()
		owed := incompleteRequestLimit
		if before != "" {
			owed += longestDeadline + time.Second // until the one before is served
		}
		conn.SetDeadline(begun.Add(owed))
		answers, err := io.ReadAll(conn)
		if errors.Is(timeout(err), errTimeout) && !n.wasAway(begun, time.Now()) {
			c.run.violate("%s: half a request (%d bytes, behind another: %v) has no error and no close after %v; got %q",
				n.name(), cut, before != "", owed, answers)
		}
		c.run.countResponse("half")
	})
}

// pipelinedRequests sends some requests at once; all are answered, in order.
func (c *client) pipelinedRequests(n *routerProcess) {
	conn, err := net.DialTimeout("tcp", n.addr, time.Second)
	if err != nil {
		return
	}
	var row []request
	text := ""
	for range 2 + c.random.IntN(4) {
		r := c.request(n)
		r.wait = longestDeadline
		row = append(row, r)
		text += r.text()
	}
	c.run.auxiliary.Go(func() {
		defer conn.Close()
		in := bufio.NewReader(conn)
		begun := time.Now()
		conn.SetDeadline(begun.Add(time.Duration(len(row)) * 2 * longestDeadline))
		if _, err := io.WriteString(conn, text); err != nil {
			return
		}
		for i, r := range row {
			answer, err := http.ReadResponse(in, nil)
			if err != nil {
				if !n.wasAway(begun, time.Now()) {
					c.run.violate("%s: %d of %d requests sent at once have no answer: %v", r.name, len(row)-i, len(row), err)
				}
				return
			}
			_, err = io.Copy(io.Discard, answer.Body)
			answer.Body.Close()
			if err != nil || answer.Close {
				return // a stream broke: its connection ends with those that wait behind it
			}
		}
		c.run.countResponse("pipelined")
	})
}
