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
	// resetDelay keeps a reset from overtaking what was written before it.
	resetDelay = 2 * time.Millisecond
)

// responses are what engines do about a request, by the action of a path.
var responses = map[modelcheck.Action]func(s *scriptedEngines, r *engineRequest){
	modelcheck.TruncatePrefill: func(s *scriptedEngines, r *engineRequest) {
		fmt.Fprint(r.conn, truncatedBody)
		time.Sleep(resetDelay)
		s.finish(r, true)
	},
	modelcheck.CompletePrefill:      complete(http.StatusOK, "", reservation),
	modelcheck.OmitReservation:      complete(http.StatusOK, "", "{}"),
	modelcheck.AnswerControlRequest: complete(http.StatusOK, "", "{}"),
	modelcheck.RejectNoReservation:  complete(http.StatusConflict, engineapi.RejectedNoReservation, "{}"),
	modelcheck.RejectFull:           complete(http.StatusTooManyRequests, engineapi.RejectedFull, "{}"),
	modelcheck.FailWithoutReason:    complete(http.StatusServiceUnavailable, "", "{}"),
	modelcheck.SendFirstToken: func(_ *scriptedEngines, r *engineRequest) {
		fmt.Fprint(r.conn, streamHead)
		writeEvent(r.conn, tokenEvent)
	},
	modelcheck.SendAnotherToken: func(_ *scriptedEngines, r *engineRequest) { writeEvent(r.conn, tokenEvent) },
	modelcheck.CompleteStream: func(s *scriptedEngines, r *engineRequest) {
		writeEvent(r.conn, chat.Done)
		fmt.Fprint(r.conn, lastChunk)
		s.finish(r, false)
	},
	modelcheck.EndStreamEarly: func(s *scriptedEngines, r *engineRequest) {
		fmt.Fprint(r.conn, lastChunk)
		s.finish(r, false)
	},
	modelcheck.LoseConnection:     func(s *scriptedEngines, r *engineRequest) { s.finish(r, true) },
	modelcheck.BecomeUnresponsive: func(*scriptedEngines, *engineRequest) {},
	modelcheck.BecomeResponsive:   func(*scriptedEngines, *engineRequest) {},
}

// complete writes a complete response and goes on with the connection.
func complete(status int, rejected, body string) func(*scriptedEngines, *engineRequest) {
	return func(s *scriptedEngines, r *engineRequest) {
		fmt.Fprintf(r.conn, "HTTP/1.1 %d %s\r\nContent-Type: application/json\r\nContent-Length: %d\r\n", status,
			http.StatusText(status), len(body))
		if rejected != "" {
			fmt.Fprintf(r.conn, "%s: %s\r\n", engineapi.HeaderRejected, rejected)
		}
		fmt.Fprintf(r.conn, "\r\n%s", body)
		s.finish(r, false)
	}
}

func writeEvent(conn net.Conn, data string) {
	event := chat.AppendEvent(nil, []byte(data))
	fmt.Fprintf(conn, "%x\r\n%s\r\n", len(event), event)
}
