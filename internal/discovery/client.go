// Package discovery implements the client of the operators' discovery service. It watches the endpoint list with long-polling
// HTTP requests to an agent, which responds when the list has changed.
package discovery

import (
	"context"
	"fmt"
	"net/http"
	"time"

	"sandcourse/internal/discovery/catalog"
	"sandcourse/internal/endpoint"
)

// MembersPath is the path of the agent's endpoint list.
const MembersPath = "/catalog/members"

const (
	// watchWait is how long an agent may delay its response until the list changes. A change counts as delivered two seconds
	// after the end of the wait even if the connection is dead, so the wait must be short to detect a dead connection early.
	watchWait = 1500 * time.Millisecond

	// minRequestInterval is the minimum interval between the starts of two requests if the first one failed or returned no
	// changes. The agent runs on the node's own machine, and continues a watch if the next request arrives within twice this
	// interval.
	minRequestInterval = 100 * time.Millisecond
)

// Client is an endpoint.Source that watches the agent at the last address received from Addresses.
type Client struct {
	Addresses <-chan string // addresses of the agent; each address replaces the previous one
	Cached    []byte        // the last snapshot that the node received; empty before the first one
}

// InvalidInstancesError reports invalid instances, which are left out of a list.
type InvalidInstancesError struct {
	IDs []string // IDs of the instances; an ID is empty if the instance has none
}

// Error returns a message with the IDs of the instances.
func (e *InvalidInstancesError) Error() string {
	return fmt.Sprintf("entries that make no sense are left out: %q", e.IDs)
}

// Run implements endpoint.Source.
func (c Client) Run(ctx context.Context, onList func(endpoint.List), onError func(error)) {
	w := &watcher{onList: onList, onError: onError}
	if len(c.Cached) > 0 {
		if _, err := w.apply(c.Cached); err != nil {
			onError(fmt.Errorf("cached endpoint list: %w", err))
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

// watcher watches one agent at a time. Its catalog is kept when the agent changes.
type watcher struct {
	catalog catalog.Catalog
	onList  func(endpoint.List)
	onError func(error)
}

// apply updates the catalog with a response and passes the list to onList if it has changed.
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

// watch watches one agent until ctx ends. The first request is always for a snapshot. A persistent error is reported once.
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
		delay := minRequestInterval
		switch {
		case err == nil:
			query, lastError = w.catalog.Query(watchWait), ""
			if delay -= time.Since(started); changed {
				delay = 0
			}
		case err.Error() != lastError:
			lastError = err.Error()
			w.onError(fmt.Errorf("discovery %s: %w; the list before stays", address, err))
		}
		if delay <= 0 {
			continue
		}
		select {
		case <-ctx.Done():
		case <-time.After(delay):
		}
	}
}
