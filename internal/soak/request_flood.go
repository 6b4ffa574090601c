package soak

import (
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"strings"
	"sync"
	"time"

	"sandcourse/internal/protocol/platform"
)

const (
	// floodSeedInterval selects the seeds with floods of requests: one in five.
	floodSeedInterval = 5
	// floodClients is the number of clients of a flood. Each sends floodRequests requests at once on its own connection.
	floodClients  = 100
	floodRequests = 100
	// floodFieldBytes is the size of a header field of each request; a head may have 16 KiB.
	floodFieldBytes = 15_000
	// floodTime is how long the clients of a flood read responses.
	floodTime = 1500 * time.Millisecond
	// maxFloodPause is the longest pause between two floods.
	maxFloodPause = 3 * time.Second
)

const floodRequestFormat = "POST %s HTTP/1.1\r\nHost: x\r\n%s: %s-%d\r\n%s: %s\r\n%s: 2.000\r\nX-Field: %s\r\nContent-Length: 2\r\n\r\n{}"

var floodField = strings.Repeat("x", floodFieldBytes)

// hasFloods reports whether this run has floods of requests, beside the other faults.
func (r *soakRun) hasFloods() bool { return r.config.Seed%floodSeedInterval == 2 }

// floodEdges lets clients that do not wait for responses send many requests to one edge after the other, until ctx ends.
func (r *soakRun) floodEdges(ctx context.Context, random *rand.Rand) {
	for number := 0; ctx.Err() == nil; number++ {
		p := r.edges[random.IntN(len(r.edges))]
		r.recordFault("flood of requests at %s", p.name())
		var clients sync.WaitGroup
		for i := range floodClients {
			clients.Go(func() { p.flood(fmt.Sprintf("f%d-%d", number, i)) })
		}
		clients.Wait()
		sleep(ctx, drawDuration(random, 0, maxFloodPause))
	}
}

// flood sends requests to an edge on one connection, and reads responses for floodTime. The responses do not matter, as such a
// client is owed no more than an error.
func (p *edgeProcess) flood(idPrefix string) {
	conn, err := net.DialTimeout("tcp", p.addr, connectTimeout)
	if err != nil {
		return // The edge may have no capacity for the connection, or not run.
	}
	defer conn.Close()
	conn.SetDeadline(time.Now().Add(floodTime))
	go func() {
		for i := range floodRequests {
			_, err := fmt.Fprintf(conn, floodRequestFormat, platform.CompletionsPath, platform.HeaderRequestID, idPrefix, i,
				platform.HeaderRequestClass, classChat, platform.HeaderTimeout, floodField)
			if err != nil {
				return // The edge has closed the connection.
			}
		}
	}()
	_, _ = io.Copy(io.Discard, conn)
}
