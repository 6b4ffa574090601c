// Command 2 plays bad clients that send a hundred requests at once, and checks that the node stays within the
// memory that its configuration allows.
package main

import (
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"strings"
	"time"

	"sandcourse/review/standin"
)

const (
	length       = 20 * time.Second
	rate         = 20 // requests per second of ordinary clients
	badFrom      = 5 * time.Second
	badClients   = 150
	requests     = 100   // that each bad client sends at once
	padding      = 15000 // bytes of a field in the head of each; the node accepts heads of 16 KiB
	badTime      = 10 * time.Second
	memoryChecks = 20 * time.Millisecond
)

func main() { standin.Main(60*time.Second, run) }

func run(ctx context.Context, folder string, record *standin.Record, trouble bool) (broken int, err error) {
	entries, err := standin.NewFleet(record).StartAll(standin.Pairs(4, 20, 200*time.Millisecond))
	if err != nil {
		return 0, err
	}
	agent, err := standin.StartAgent(record, entries)
	if err != nil {
		return 0, err
	}
	defer agent.Stop()
	node, err := standin.StartNode(folder, standin.Settings{Discovery: agent.Address, Known: agent.Snapshot(), Resume: true})
	if node != nil {
		defer node.Kill()
	}
	if err != nil {
		return 0, err
	}
	if trouble {
		time.AfterFunc(badFrom, func() {
			record.Printf("%d bad clients send %d requests at once each", badClients, requests)
			for range badClients {
				go sendAtOnce(node.Address)
			}
		})
	}
	overLimit := make(chan bool, 1)
	go func() { overLimit <- watchMemory(node, record) }()
	served := standin.Traffic{Node: node.Address, Rate: rate, Length: length, Record: record}.Run(ctx)
	node.Kill()
	record.Result("%d requests of ordinary clients were served whole", served)
	switch {
	case <-overLimit:
		return 1, nil
	case served < rate*int(length.Seconds())/2:
		return 0, fmt.Errorf("only %d requests were served", served)
	}
	return 0, nil
}

// watchMemory kills the node, as the platform does, if it uses more memory than it may, and reports whether that was so.
func watchMemory(node *standin.Node, record *standin.Record) (killed bool) {
	most := 0
	for {
		select {
		case <-node.Exited:
			record.Result("the node used %d MiB at most and may use %d MiB", most>>20, standin.MemoryLimit>>20)
			return killed
		case <-time.After(memoryChecks):
		}
		most = max(most, node.Memory())
		if most > standin.MemoryLimit && !killed {
			killed = true
			record.Result("BROKEN: the node uses %d MiB and may use %d MiB: it is killed", most>>20, standin.MemoryLimit>>20)
			node.Kill()
		}
	}
}

// sendAtOnce sends many requests at once on one connection and reads all that comes.
func sendAtOnce(address string) {
	conn, err := net.Dial("tcp", address)
	if err != nil {
		return
	}
	defer conn.Close()
	conn.SetDeadline(time.Now().Add(badTime))
	go func() {
		const body = `{"model":"chat","stream":true,"messages":[{"role":"user","content":"hello"}]}`
		field := strings.Repeat("x", padding)
		for range requests {
			_, err := fmt.Fprintf(conn, "POST /v1/chat/completions HTTP/1.1\r\nHost: api.internal\r\nRequest-Id: %016x\r\n"+
				"Request-Class: clip-summary\r\nRequest-Timeout: 4.000\r\nX-Field: %s\r\nContent-Length: %d\r\n\r\n%s",
				rand.Uint64(), field, len(body), body)
			if err != nil {
				return // The node has closed the connection.
			}
		}
	}()
	_, _ = io.Copy(io.Discard, conn) // The end of the connection is enough.
}
