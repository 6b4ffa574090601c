package main_test

import (
	"fmt"
	"net/http"
	"sync"
	"testing"
	"time"

	"sandcourse/internal/soak"
)

// File descriptors run out for a moment while clients connect: the accepted connection uses the last one, and none is left to
// pass the connection to the socket library. The clients have to wait, and must then be served.
func TestClientIsServedAfterDescriptorsRunOut(t *testing.T) {
	p, edge := startSingleEdge(t, nil)
	restore, err := soak.LimitFreeDescriptors(edge.Process.Pid, 1)
	if err != nil {
		t.Fatal(err)
	}
	restored := make(chan error, 1)
	time.AfterFunc(300*time.Millisecond, func() { restored <- restore() })
	var wg sync.WaitGroup
	for i := range 5 {
		wg.Go(func() {
			client := &http.Client{Transport: &http.Transport{DisableKeepAlives: true}}
			if status := p.call(client, p.addresses[0], fmt.Sprintf("q%d", i), "chat", 4*time.Second); status != http.StatusOK {
				t.Errorf("client %d, which connected without a free descriptor, got status %d", i, status)
			}
		})
	}
	wg.Wait()
	if err := <-restored; err != nil {
		t.Fatal(err)
	}
}
