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
	// maxRequestTimeout is the longest time limit of a request for the first event of the response.
	maxRequestTimeout = 3 * time.Second
	// maxClientPause is the longest pause of a client between two requests.
	maxClientPause = 120 * time.Millisecond
	// responseTimeout is how long a client waits past the deadline, so that a late response is recorded as late.
	responseTimeout = 5 * time.Second
	// connectTimeout bounds the dial of a connection to an edge.
	connectTimeout = time.Second
)

// requestClasses lists the classes to draw from, chat twice as often as the others. The order of the list determines which
// requests a seed draws.
var requestClasses = []requestClass{classChat, classChat, classLabel, classAlert}

// client sends each request to a random edge, as a load balancer in front of the edges would, and keeps one connection to each
// edge.
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

// run sends requests until end.
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
		time.Sleep(time.Duration(c.random.Int64N(int64(maxClientPause))))
	}
}

// clientConnection is a connection of a client to an edge.
type clientConnection struct {
	conn   net.Conn
	reader *bufio.Reader
	used   bool
}

// connect returns the client's connection to an edge, and opens one if necessary.
func (c *client) connect(p *edgeProcess) (*clientConnection, error) {
	if connection := c.connections[p]; connection != nil {
		return connection, nil
	}
	conn, err := net.DialTimeout("tcp", p.addr, connectTimeout)
	if err != nil {
		return nil, err
	}
	c.connections[p] = &clientConnection{conn: conn, reader: bufio.NewReader(conn)}
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

// request is one request of the platform protocol.
type request struct {
	id      string
	class   requestClass
	timeout time.Duration // limit on the time to the first event
}

// newRequest returns a request to an edge with a random class and timeout.
func (c *client) newRequest(p *edgeProcess) request {
	c.requestCount++
	class := requestClasses[c.random.IntN(len(requestClasses))]
	return request{id: fmt.Sprintf("%s-c%dq%d", p.name(), c.number, c.requestCount), class: class,
		timeout: maxRequestTimeout/3 + time.Duration(c.random.Int64N(int64(maxRequestTimeout*2/3)))}
}

// encode returns the bytes of the HTTP request.
func (r request) encode() string {
	const body = `{"model":"chat","messages":[]}`
	return fmt.Sprintf("POST %s HTTP/1.1\r\nHost: x\r\n%s: %s\r\n%s: %s\r\n%s: s%s\r\n%s: %.3f\r\nContent-Length: %d\r\n\r\n%s",
		platform.CompletionsPath, platform.HeaderRequestID, r.id, platform.HeaderRequestClass, r.class, platform.HeaderAffinityKey, r.id[len(r.id)-2:],
		platform.HeaderTimeout, r.timeout.Seconds(), len(body), body)
}

// newRecord returns the audit record of the request with the current time as its send time.
func (r request) newRecord(p *edgeProcess) audit.ClientRecord {
	now := time.Now()
	return audit.ClientRecord{ClientRequestID: r.id, RequestID: r.id, Route: string(r.class), Edge: p.name(), Sent: now, Deadline: now.Add(r.timeout)}
}

// sendRequest sends one request and records its outcome. For one request in ten, the client disconnects early. A request on a
// reused connection that the edge closes as idle at the same moment is sent once more on a new connection.
func (c *client) sendRequest(p *edgeProcess) {
	r := c.newRequest(p)
	record := r.newRecord(p)
	disconnects := c.random.IntN(10) == 0
	for retry := false; ; retry = true {
		connection, err := c.connect(p)
		if err != nil {
			return // The edge has not accepted the connection, so there is no request to record.
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
			continue // The edge closed the idle connection while the request was in transit.
		}
		c.recordOutcome(p, &record, disconnects, err)
		return
	}
}

// exchange sends a request and reads its response. After an error the connection must not be reused.
func (c *client) exchange(connection *clientConnection, r request, record *audit.ClientRecord) error {
	if _, err := io.WriteString(connection.conn, r.encode()); err != nil {
		return err
	}
	return c.readResponse(connection, record)
}

// recordOutcome records how a request ended. A request without a response whose connection broke is lost, unless the edge was
// shutting down or not running.
func (c *client) recordOutcome(p *edgeProcess, record *audit.ClientRecord, disconnects bool, err error) {
	switch {
	case record.Outcome != "":
	case disconnects:
		record.Outcome = audit.OutcomeAbandoned
	case p.wasDown(record.Sent, record.End):
		// An edge that shuts down may close a new connection without reading from it. Whether the edge has read the request
		// follows from the engines' records, see checkUnanswered.
		record.Outcome = audit.OutcomeAbandoned
		c.soak.recordUnanswered(p, *record)
	default:
		record.Outcome, record.Reason = audit.OutcomeLost, fmt.Sprint(err)
	}
	c.soak.log.RecordClient(*record)
}

// awaitCompletion sends requests to an edge until one is completed and reports whether that happened within the timeout.
func (c *client) awaitCompletion(p *edgeProcess, timeout time.Duration) bool {
	for end := time.Now().Add(timeout); time.Now().Before(end); time.Sleep(50 * time.Millisecond) {
		connection, err := c.connect(p)
		if err != nil {
			continue
		}
		r := c.newRequest(p)
		r.timeout = maxRequestTimeout
		connection.conn.SetDeadline(time.Now().Add(maxRequestTimeout + time.Second))
		record := r.newRecord(p)
		if err := c.exchange(connection, r, &record); err != nil {
			c.closeConnection(p)
		}
		if record.Outcome == audit.OutcomeCompleted {
			return true
		}
	}
	return false
}
