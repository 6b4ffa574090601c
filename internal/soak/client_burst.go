package soak

import (
	"context"
	"math/rand/v2"
	"net"
	"sync"
	"time"
)

const (
	// burstSeedInterval selects the seeds with client bursts: one in three.
	burstSeedInterval = 3
	// burstClients is the number of clients that connect to one edge at once. Each sends burstRequests requests on its own
	// connection.
	burstClients  = 100
	burstRequests = 3
	// burstIdleConnections is the number of connections without requests that are open during a burst.
	burstIdleConnections = 60
)

// hasClientBursts reports whether client bursts are among the faults of this run.
func (r *soakRun) hasClientBursts() bool { return r.config.Seed%burstSeedInterval == 1 }

// sendClientBurst lets many clients send requests to one edge at once, if this run has client bursts.
func (r *soakRun) sendClientBurst(ctx context.Context, random *rand.Rand) {
	if !r.hasClientBursts() {
		return
	}
	p := r.edges[random.IntN(len(r.edges))]
	r.recordFault("burst of clients at %s", p.name())
	idle := openIdleConnections(p)
	defer closeConnections(idle)
	var clients sync.WaitGroup
	for range burstClients {
		c := r.newBurstClient()
		clients.Go(func() {
			defer c.closeAll()
			for range burstRequests {
				c.sendRequest(p)
			}
		})
	}
	clients.Wait()
	sleep(ctx, drawDuration(random, 0, time.Second))
}

// newBurstClient returns a client with its own stream of random numbers.
func (r *soakRun) newBurstClient() *client {
	r.mu.Lock()
	r.lastBurstClientNumber++
	number := burstClientStreams + r.lastBurstClientNumber
	r.mu.Unlock()
	return newClient(r, number, number)
}

// openIdleConnections opens connections without requests, until the edge does not accept one.
func openIdleConnections(p *edgeProcess) (connections []net.Conn) {
	for range burstIdleConnections {
		conn, err := net.DialTimeout("tcp", p.addr, connectTimeout)
		if err != nil {
			break
		}
		connections = append(connections, conn)
	}
	return connections
}

func closeConnections(connections []net.Conn) {
	for _, conn := range connections {
		conn.Close()
	}
}
