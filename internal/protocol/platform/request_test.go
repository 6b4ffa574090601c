package platform

import (
	"bufio"
	"errors"
	"fmt"
	"net/http"
	"strings"
	"testing"
	"time"

	"sandcourse/internal/protocol"
	"sandcourse/internal/protocol/httpframing"
)

const sampleHead = "POST /v1/chat/completions?x=1 HTTP/1.1\r\nHost: api.internal\r\nRequest-Id: 9b1f03aa5c7e2d41\r\n" +
	"Request-Class: chat\r\nAffinity-Key: 7f3a\r\nRequest-Timeout: 4.800\r\nContent-Type: application/json\r\n" +
	"Request-Info: prefix=5c0f,prompt_len=5120,prefix_len=2048,max_out=800\r\n"

// largeLimits exceed the sizes of all messages in the tests.
var largeLimits = httpframing.Limits{HeadBytes: 1 << 20, BodyBytes: 1 << 20}

// parseHTTP parses a request with net/http. The head ends before the Content-Length field.
func parseHTTP(head, body string) (*http.Request, error) {
	return http.ReadRequest(bufio.NewReader(strings.NewReader(fmt.Sprintf("%sContent-Length: %d\r\n\r\n", head, len(body)))))
}

func parse(t testing.TB, head, body string) (*protocol.Request, *protocol.Response) {
	t.Helper()
	r, err := parseHTTP(head, body)
	if err != nil {
		t.Fatal(err)
	}
	request, _, rejection := NewCodec(nil).ParseRequest(r, []byte(body))
	return request, rejection
}

func TestInvalidRequestsAreRejected(t *testing.T) {
	withHeader := func(name, value string) string {
		var lines []string
		for line := range strings.SplitAfterSeq(sampleHead, "\r\n") {
			if strings.HasPrefix(line, name+":") {
				line = strings.TrimRight(name+": "+value, " ") + "\r\n"
				if value == "" {
					line = ""
				}
			}
			lines = append(lines, line)
		}
		return strings.Join(lines, "")
	}
	for name, head := range map[string]string{"no ID": withHeader(HeaderRequestID, ""), "a path": withHeader(HeaderRequestID, "../x"),
		"long ID": withHeader(HeaderRequestID, strings.Repeat("a", 200)), "two IDs": sampleHead + "Request-Id: b\r\n",
		"no route": withHeader(HeaderRequestClass, ""), "no timeout": withHeader(HeaderTimeout, ""), "words": withHeader(HeaderTimeout, "soon"),
		"not a number": withHeader(HeaderTimeout, "nan"), "endless": withHeader(HeaderTimeout, "inf"), "past": withHeader(HeaderTimeout, "-1"),
		"negative length": withHeader(HeaderRequestInfo, "prompt_len=-1"), "huge length": withHeader(HeaderRequestInfo, "max_out=99999999999"),
	} {
		if request, rejection := parse(t, head, "{}"); rejection == nil || rejection.Status/100 != 4 {
			t.Errorf("%s: accepted as %+v", name, request)
		}
	}
	for _, body := range []string{"", "[]", "{", "\xff", "null"} {
		if request, rejection := parse(t, sampleHead, body); rejection == nil {
			t.Errorf("body %q: accepted as %+v", body, request)
		}
	}
}

// The error of an invalid header names the header; a body that is not an object has a separate error.
func TestRequestErrorsNameTheHeader(t *testing.T) {
	parseError := func(head, body string) error {
		r, err := parseHTTP(head, body)
		if err != nil {
			t.Fatal(err)
		}
		_, err = parseRequest(r, []byte(body))
		return err
	}
	for head, want := range map[string]string{
		"POST /v1/chat/completions HTTP/1.1\r\nHost: h\r\n": HeaderRequestID,
		sampleHead + "Request-Class: a\r\n":                 HeaderRequestClass,
		strings.Replace(sampleHead, "4.800", "soon", 1):     HeaderTimeout,
		strings.Replace(sampleHead, "2048", "-1", 1):        HeaderRequestInfo + ": prefix_len",
	} {
		var invalid *HeaderError
		if err := parseError(head, "{}"); !errors.As(err, &invalid) || invalid.Header != want {
			t.Errorf("%v does not name %s", err, want)
		}
	}
	if err := parseError(sampleHead, "[]"); !errors.Is(err, errNotObject) {
		t.Error(err)
	}
}

func FuzzParseRequest(f *testing.F) {
	f.Add(sampleHead, "{}")
	f.Add(sampleHead+"Request-Info: a=b,,=,prefix\r\n", "{}")
	f.Fuzz(func(t *testing.T, head, body string) {
		r, err := parseHTTP(head, body)
		if err != nil {
			t.Skip()
		}
		request, _, rejection := NewCodec(nil).ParseRequest(r, []byte(body))
		if request == nil {
			return
		}
		if rejection != nil || request.FirstTokenTimeout <= 0 || request.FirstTokenTimeout > maxTimeout ||
			request.PromptTokens < 0 || request.MaxOutputTokens < 0 || request.PromptTokens > maxTokens+len(body) {
			t.Fatalf("invalid request %+v, rejection %v", request, rejection)
		}
		to := protocol.Target{Address: "h:1"}
		decode, _ := NewCodec(nil).DecodeRequest(request, request.ID, to, nil, time.Second)
		for _, wire := range [][]byte{NewCodec(nil).ReleaseRequest(to, request.ID, 0), decode} {
			parser := httpframing.NewParser(httpframing.Requests, largeLimits)
			if parts, err := parser.Feed(wire); err != nil || !parser.AtBoundary() || parts[0].Request.Header.Get("Host") != "" {
				t.Fatalf("%q is not one request: %v", wire, err)
			}
		}
	})
}
