package soak

import (
	"bufio"
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"time"

	"sandcourse/internal/audit"
	"sandcourse/internal/protocol/platform"
)

const (
	// longestDeadline is the longest time that a client waits for its first event.
	longestDeadline = 3 * time.Second
	// longestClientPause is the longest time between two requests of a client.
	longestClientPause = 120 * time.Millisecond
	// responseTimeout is how long after the deadline a client still waits for a response, which is late then.
	responseTimeout = 5 * time.Second
	// connectTimeout is how long a client waits for its connection.
	connectTimeout = time.Second
)

// requestClasses lists the classes to draw from. The seed determines requests through the order of this list.
var requestClasses = []requestClass{classChat, classChat, classLabel, classAlert}

// client sends requests to one edge after the other, as a load balancer in front of them distributes them, and keeps a connection
// to each.
type client struct {
	soak         *soakRun
	number       int
	random       *rand.Rand
	connections  map[*edgeProcess]*clientConnection
	requestCount int
}

func newClient(r *soakRun, number, stream int) *client {
	return &client{soak: r, number: number, random: r.randomStream(stream), connections: map[*edgeProcess]*clientConnection{}}
}

// run sends requests until the run ends.
func (c *client) run(end time.Time) {
	defer c.closeAll()
	for time.Now().Before(end) {
		p := c.soak.edges[c.random.IntN(len(c.soak.edges))]
		switch c.random.IntN(20) {
		case 0:
			c.sendPartialRequest(p)
		case 1:
			c.sendPipelinedRequests(p)
		default:
			c.sendRequest(p)
		}
		time.Sleep(time.Duration(c.random.Int64N(int64(longestClientPause))))
	}
}

// clientConnection is a connection of a client to an edge.
type clientConnection struct {
	conn net.Conn
	in   *bufio.Reader
	used bool
}

// connect returns the client's connection to an edge, which it opens where there is none.
func (c *client) connect(p *edgeProcess) (*clientConnection, error) {
	if connection := c.connections[p]; connection != nil {
		return connection, nil
	}
	conn, err := net.DialTimeout("tcp", p.addr, connectTimeout)
	if err != nil {
		return nil, err
	}
	c.connections[p] = &clientConnection{conn: conn, in: bufio.NewReader(conn)}
	return c.connections[p], nil
}

func (c *client) closeConnection(p *edgeProcess) {
	if connection := c.connections[p]; connection != nil {
		connection.conn.Close()
		delete(c.connections, p)
	}
}

func (c *client) closeAll() {
	for _, connection := range c.connections {
		connection.conn.Close()
	}
}

// request is one request in the platform's form.
type request struct {
	id      string
	class   requestClass
	timeout time.Duration // for the first event
}

// newRequest draws a request to an edge.
func (c *client) newRequest(p *edgeProcess) request {
	c.requestCount++
	class := requestClasses[c.random.IntN(len(requestClasses))]
	return request{id: fmt.Sprintf("%s-c%dq%d", p.name(), c.number, c.requestCount), class: class,
		timeout: longestDeadline/3 + time.Duration(c.random.Int64N(int64(longestDeadline*2/3)))}
}

// text encodes the request.
func (r request) text() string {
	const body = `{"model":"chat","messages":[]}`
	return fmt.Sprintf("POST %s HTTP/1.1\r\nHost: x\r\n%s: %s\r\n%s: %s\r\n%s: s%s\r\n%s: %.3f\r\nContent-Length: %d\r\n\r\n%s",
		platform.CompletionsPath, platform.HeaderRequestID, r.id, platform.HeaderRequestClass, r.class, platform.HeaderAffinityKey, r.id[len(r.id)-2:],
		platform.HeaderTimeout, r.timeout.Seconds(), len(body), body)
}

// record begins the audit's record of the request, which is sent now.
func (r request) record(p *edgeProcess) audit.ClientRecord {
	now := time.Now()
	return audit.ClientRecord{ClientRequestID: r.id, RequestID: r.id, Route: string(r.class), Edge: p.name(), Sent: now, Deadline: now.Add(r.timeout)}
}

// sendRequest sends one request and records its outcome. One in ten clients disconnects early. A request on a reused connection
// that the edge closes as idle at the same moment is sent once more on a new one.
func (c *client) sendRequest(p *edgeProcess) {
	r := c.newRequest(p)
	record := r.record(p)
	disconnects := c.random.IntN(10) == 0
	for retry := false; ; retry = true {
		connection, err := c.connect(p)
		if err != nil {
			return // the edge has not accepted it
		}
		reused := connection.used
		connection.used = true
		connection.conn.SetDeadline(record.Deadline.Add(responseTimeout))
		if disconnects {
			connection.conn.SetDeadline(record.Sent.Add(time.Duration(c.random.Int64N(int64(r.timeout)))))
		}
		err = c.exchange(connection, r, &record)
		record.End = time.Now()
		if err != nil {
			c.closeConnection(p)
		}
		if record.Outcome == "" && reused && !retry && !errors.Is(err, errDeadlineExceeded) {
			continue // the edge's close of an idle connection has crossed it
		}
		c.recordOutcome(p, &record, disconnects, err)
		return
	}
}

// exchange sends a request and reads its response. An error says that the connection can't be used any more.
func (c *client) exchange(connection *clientConnection, r request, record *audit.ClientRecord) error {
	if _, err := io.WriteString(connection.conn, r.text()); err != nil {
		return err
	}
	return c.readResponse(connection, record)
}

// recordOutcome records how a request ended. One without a response whose connection broke is lost, unless its edge was
// shutting down or not running.
func (c *client) recordOutcome(p *edgeProcess, record *audit.ClientRecord, disconnects bool, err error) {
	switch {
	case record.Outcome != "":
	case disconnects:
		record.Outcome = audit.OutcomeAbandoned
	case p.wasDown(record.Sent, record.End):
		// A new connection may be closed unread then. Whether the request was read, the engines' records tell.
		record.Outcome = audit.OutcomeAbandoned
		c.soak.noteUnanswered(p, *record)
	default:
		record.Outcome, record.Reason = audit.OutcomeLost, fmt.Sprint(err)
	}
	c.soak.log.RecordClient(*record)
}

// awaitServed sends requests to an edge until one is completed; false where none is in time.
func (c *client) awaitServed(p *edgeProcess, timeout time.Duration) bool {
	for end := time.Now().Add(timeout); time.Now().Before(end); time.Sleep(50 * time.Millisecond) {
		connection, err := c.connect(p)
		if err != nil {
			continue
		}
		r := c.newRequest(p)
		r.timeout = longestDeadline
		connection.conn.SetDeadline(time.Now().Add(longestDeadline + time.Second))
		record := r.record(p)
		if err := c.exchange(connection, r, &record); err != nil {
			c.closeConnection(p)
		}
		if record.Outcome == audit.OutcomeCompleted {
			return true
		}
	}
	return false
}
