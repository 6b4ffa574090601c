// Package discovery is the client of the operators' discovery: it follows, over HTTP, an agent that answers a request when
// the endpoint list has changed.
package discovery

import (
	"context"
	"fmt"
	"net/http"
	"time"

	"sandcourse/internal/discovery/catalog"
	"sandcourse/internal/endpoint"
)

// MembersPath is the path of the endpoint list at an agent.
const MembersPath = "/catalog/members"

const (
	// watchWait is how long an agent may hold a request back. What an agent has to report while a connection is dead counts as
	// reported two seconds after the wait ends, so short waits find out soon.
	watchWait = 1500 * time.Millisecond

	// minRequestInterval is between the starts of two requests if the first one failed or brought nothing new. An agent is on
	// the node's own machine, and a watch goes on if the next request arrives within twice that time.
	minRequestInterval = 100 * time.Millisecond
)

// Client is an endpoint.Source that follows the agent at the last of the addresses.
type Client struct {
	Addresses <-chan string // of the agent; each replaces the one before
	Cached    []byte        // the snapshot that the node last had; empty for none
}

// InvalidInstancesError reports instances that are left out of a list.
type InvalidInstancesError struct {
	IDs []string // empty where an instance shows no ID
}

// Error names the instances.
func (e *InvalidInstancesError) Error() string {
	return fmt.Sprintf("entries that make no sense are left out: %q", e.IDs)
}

// Run implements endpoint.Source.
func (c Client) Run(ctx context.Context, onList func(endpoint.List), onError func(error)) {
	w := &watcher{onList: onList, onError: onError}
	if len(c.Cached) > 0 {
		if _, err := w.apply(c.Cached); err != nil {
			onError(fmt.Errorf("the list known from before: %w", err))
		}
	}
	for address := ""; ; {
		watchContext, cancel := context.WithCancel(ctx)
		done := make(chan struct{})
		if address != "" {
			go func() {
				defer close(done)
				w.watch(watchContext, address)
			}()
		} else {
			close(done)
		}
		select {
		case <-ctx.Done():
		case address = <-c.Addresses:
		}
		cancel()
		<-done
		if ctx.Err() != nil {
			return
		}
	}
}

// watcher follows one agent at a time. What it knows outlives the agents.
type watcher struct {
	catalog catalog.Catalog
	onList  func(endpoint.List)
	onError func(error)
}

// apply updates the catalog with a response and reports a list that has changed.
func (w *watcher) apply(body []byte) (changed bool, err error) {
	update, err := w.catalog.Apply(body)
	if len(update.Invalid) > 0 {
		w.onError(&InvalidInstancesError{update.Invalid})
	}
	if update.Changed {
		w.onList(w.catalog.List())
	}
	return update.Changed, err
}

// watch follows one agent until ctx ends. The first request is for a snapshot, whatever is known. An error that lasts is
// reported once.
func (w *watcher) watch(ctx context.Context, address string) {
	client := &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 1, DisableCompression: true}}
	defer client.CloseIdleConnections()
	query, lastError := "", ""
	for ctx.Err() == nil {
		started := time.Now()
		changed := false
		body, err := fetch(ctx, client, "http://"+address+MembersPath+query)
		if err == nil {
			changed, err = w.apply(body)
		}
		if ctx.Err() != nil {
			return
		}
		pause := minRequestInterval
		switch {
		case err == nil:
			query, lastError = w.catalog.Query(watchWait), ""
			if pause -= time.Since(started); changed {
				pause = 0
			}
		case err.Error() != lastError:
			lastError = err.Error()
			w.onError(fmt.Errorf("discovery %s: %w; the list before stays", address, err))
		}
		if pause <= 0 {
			continue
		}
		select {
		case <-ctx.Done():
		case <-time.After(pause):
		}
	}
}
