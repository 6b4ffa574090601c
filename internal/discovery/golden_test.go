package discovery

import (
	"bufio"
	"fmt"
	"net"
	"strings"
	"testing"
	"time"

	"sandcourse/internal/endpoint"
	"sandcourse/internal/golden"
)

// goldenAgent starts an agent that sends the given responses in order, and sends the bytes of each request to the channel.
func goldenAgent(t *testing.T, responses []string) (address string, requests chan string) {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { l.Close() })
	requests = make(chan string, 64)
	next := make(chan string, len(responses))
	for _, r := range responses {
		next <- r
	}
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			go func() {
				defer c.Close()
				in := bufio.NewReader(c)
				var request strings.Builder
				for {
					line, err := in.ReadString('\n')
					if err != nil {
						return
					}
					request.WriteString(line)
					if line != "\r\n" {
						continue
					}
					requests <- strings.ReplaceAll(request.String(), l.Addr().String(), "ADDRESS")
					request.Reset()
					select {
					case response := <-next:
						fmt.Fprint(c, response)
					default: // The agent is unresponsive after the last response.
					}
				}
			}()
		}
	}()
	return l.Addr().String(), requests
}

// The bytes of the request after each response of the agent stay the same.
func TestGoldenRequests(t *testing.T) {
	response := func(status, body string) string {
		return fmt.Sprintf("HTTP/1.1 %s\r\nContent-Type: application/json\r\nContent-Length: %d\r\n\r\n%s", status, len(body), body)
	}
	const ok = "200 OK"
	responses := []string{
		response("503 Service Unavailable", "not yet"),
		response(ok, listJSON(4, false, "a", "SERVING")), // The response has changes without a snapshot.
		response(ok, listJSON(5, true, "a", "SERVING")),
		response(ok, listJSON(6, false, "a", "DRAINING")),
		response(ok, `{"generation":6,"reset":false,"instances":[]}`),
		response(ok, "{"),
		response("500 Internal Server Error", ""),
		response(ok, listJSON(7, false, "b", "SERVING")),
		"", // The agent sends no response until the deadline.
		response(ok, listJSON(3, false, "a", "DELETED")), // The generation is that of a restored store.
		response(ok, listJSON(3, true, "c", "SERVING")),
		response(ok, listJSON(4, false, "c", "DELETED")),
	}
	address, requests := goldenAgent(t, responses)
	startClient(t, Client{Addresses: addressOf(address)}, func(endpoint.List) {}, ignoreError)
	var out strings.Builder
	for i := range len(responses) + 1 {
		select {
		case request := <-requests:
			fmt.Fprintf(&out, "request %d\n", i+1)
			for line := range strings.SplitAfterSeq(request, "\n") {
				if line != "" {
					fmt.Fprintf(&out, "    %q\n", line)
				}
			}
		case <-time.After(10 * time.Second):
			t.Fatalf("request %d is not sent", i+1)
		}
		if i < len(responses) {
			fmt.Fprintf(&out, "response %q\n", responses[i])
		}
	}
	golden.Check(t, "requests.golden", out.String())
}
