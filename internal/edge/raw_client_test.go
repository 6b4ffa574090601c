package edge_test

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"testing"
	"time"

	"sandcourse/internal/edge"
)

// rawClient is a client that writes and reads raw HTTP on one connection.
type rawClient struct {
	t      *testing.T
	conn   net.Conn
	reader *bufio.Reader
}

func dialRaw(t *testing.T, e *edge.Edge) *rawClient {
	t.Helper()
	conn, err := net.Dial("tcp", e.Addr())
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { conn.Close() })
	conn.SetDeadline(time.Now().Add(20 * time.Second))
	return &rawClient{t, conn, bufio.NewReader(conn)}
}

func requestText(name, route string) string {
	return fmt.Sprintf("POST /v1/chat/completions HTTP/1.1\r\nHost: x\r\nRequest-Id: %s\r\nRequest-Class: %s\r\n"+
		"Affinity-Key: k\r\nRequest-Timeout: 3.0\r\nContent-Length: 2\r\n\r\n{}", name, route)
}

func (c *rawClient) send(text string) {
	c.t.Helper()
	if _, err := io.WriteString(c.conn, text); err != nil {
		c.t.Fatal(err)
	}
}

// readResponse returns the status and the body of the next response; the status is 0 if the connection ends before that.
func (c *rawClient) readResponse() (status int, body string) {
	r, err := http.ReadResponse(c.reader, nil)
	if err != nil {
		return 0, ""
	}
	data, err := io.ReadAll(r.Body)
	if err != nil {
		return 0, string(data)
	}
	return r.StatusCode, string(data)
}

// idleClient returns a client whose connection is idle after one response.
func idleClient(t *testing.T, e *edge.Edge) *rawClient {
	t.Helper()
	client := dialRaw(t, e)
	client.send(requestText("a", "chat"))
	if status, _ := client.readResponse(); status != 200 {
		t.Fatal(status)
	}
	return client
}

// rawExchange sends bytes and returns all bytes received until the edge closes the connection or sends nothing for a while.
func rawExchange(t *testing.T, addr string, send string, idleTimeout time.Duration) string {
	t.Helper()
	c, err := net.Dial("tcp", addr)
	if err != nil {
		t.Fatal(err)
	}
	defer c.Close()
	if _, err := io.WriteString(c, send); err != nil {
		t.Fatal(err)
	}
	var got []byte
	buf := make([]byte, 4096)
	for {
		c.SetReadDeadline(time.Now().Add(idleTimeout))
		n, err := c.Read(buf)
		got = append(got, buf[:n]...)
		if err != nil {
			return string(got)
		}
	}
}
