package replay

import (
	"fmt"
	"net"
	"net/http"
	"time"

	"sandcourse/internal/modelcheck"
	"sandcourse/internal/protocol/chat"
	"sandcourse/internal/protocol/engineapi"
)

const (
	streamHead    = "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n"
	lastChunk     = "0\r\n\r\n"
	truncatedBody = "HTTP/1.1 200 OK\r\nContent-Type: application/json\r\nContent-Length: 100\r\n\r\n{"
	tokenEvent    = `{"choices":[]}`
	reservation   = `{"kv_transfer_params":{"do_remote_prefill":true,"remote_engine_id":"x","remote_host":"127.0.0.1","remote_port":9}}`
	// resetDelay is the time between a write and a reset, so that the reset does not discard the written bytes.
	resetDelay = 2 * time.Millisecond
)

// responses maps the actions of engines to functions that perform them for a request.
var responses = map[modelcheck.Action]func(s *scriptedEngines, r *engineRequest){
	modelcheck.TruncatePrefill: func(s *scriptedEngines, r *engineRequest) {
		fmt.Fprint(r.conn, truncatedBody)
		time.Sleep(resetDelay)
		s.finishRequest(r, true)
	},
	modelcheck.CompletePrefill:      respondWith(http.StatusOK, "", reservation),
	modelcheck.OmitReservation:      respondWith(http.StatusOK, "", "{}"),
	modelcheck.AnswerControlRequest: respondWith(http.StatusOK, "", "{}"),
	modelcheck.RejectNoReservation:  respondWith(http.StatusConflict, engineapi.RejectedNoReservation, "{}"),
	modelcheck.RejectFull:           respondWith(http.StatusTooManyRequests, engineapi.RejectedFull, "{}"),
	modelcheck.FailWithoutReason:    respondWith(http.StatusServiceUnavailable, "", "{}"),
	modelcheck.SendFirstToken: func(_ *scriptedEngines, r *engineRequest) {
		fmt.Fprint(r.conn, streamHead)
		writeEvent(r.conn, tokenEvent)
	},
	modelcheck.SendAnotherToken: func(_ *scriptedEngines, r *engineRequest) { writeEvent(r.conn, tokenEvent) },
	modelcheck.CompleteStream: func(s *scriptedEngines, r *engineRequest) {
		writeEvent(r.conn, chat.Done)
		fmt.Fprint(r.conn, lastChunk)
		s.finishRequest(r, false)
	},
	modelcheck.EndStreamEarly: func(s *scriptedEngines, r *engineRequest) {
		fmt.Fprint(r.conn, lastChunk)
		s.finishRequest(r, false)
	},
	modelcheck.LoseConnection:     func(s *scriptedEngines, r *engineRequest) { s.finishRequest(r, true) },
	modelcheck.BecomeUnresponsive: func(*scriptedEngines, *engineRequest) {},
	modelcheck.BecomeResponsive:   func(*scriptedEngines, *engineRequest) {},
}

// respondWith returns a function that writes a complete response and keeps the connection open.
func respondWith(status int, rejected, body string) func(*scriptedEngines, *engineRequest) {
	return func(s *scriptedEngines, r *engineRequest) {
		fmt.Fprintf(r.conn, "HTTP/1.1 %d %s\r\nContent-Type: application/json\r\nContent-Length: %d\r\n", status,
			http.StatusText(status), len(body))
		if rejected != "" {
			fmt.Fprintf(r.conn, "%s: %s\r\n", engineapi.HeaderRejected, rejected)
		}
		fmt.Fprintf(r.conn, "\r\n%s", body)
		s.finishRequest(r, false)
	}
}

func writeEvent(conn net.Conn, data string) {
	event := chat.AppendEvent(nil, []byte(data))
	fmt.Fprintf(conn, "%x\r\n%s\r\n", len(event), event)
}
