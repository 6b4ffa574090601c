package soak

import (
	"context"
	"math/rand/v2"
	"net"
	"sync"
	"time"
)

const (
	// crowdSeeds: every so manyth seed has crowds.
	crowdSeeds = 3
	// crowdClients come to one edge at once, each with some requests on a connection of its own.
	crowdClients  = 100
	crowdRequests = 3
	// crowdIdle connections are opened beside them and send nothing.
	crowdIdle = 60
)

// hasCrowds is whether crowds of clients come in this run.
func (r *soakRun) hasCrowds() bool { return r.config.Seed%crowdSeeds == 1 }

// crowd is many clients that come to one edge at once.
func (r *soakRun) crowd(ctx context.Context, random *rand.Rand) {
	if !r.hasCrowds() {
		return
	}
	p := r.edges[random.IntN(len(r.edges))]
	r.noteFault("a crowd comes to %s", p.name())
	idle := openIdle(p)
	defer closeConnections(idle)
	var all sync.WaitGroup
	for range crowdClients {
		c := r.newCrowdClient()
		all.Go(func() {
			defer c.closeAll()
			for range crowdRequests {
				c.sendRequest(p)
			}
		})
	}
	all.Wait()
	sleep(ctx, between(random, 0, time.Second))
}

// newCrowdClient is a client with a stream of random numbers of its own.
func (r *soakRun) newCrowdClient() *client {
	r.mu.Lock()
	r.lastInCrowd++
	number := crowdStreams + r.lastInCrowd
	r.mu.Unlock()
	return newClient(r, number, number)
}

// openIdle opens connections that send nothing; fewer where the edge does not accept them.
func openIdle(p *edgeProcess) (connections []net.Conn) {
	for range crowdIdle {
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
