// Package discover follows the platform's discovery for one node: an agent that is asked over HTTP and
// answers when there is news.
package discovery

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net/http"
	"time"

	"sandcourse/internal/discovery/catalog"
	"sandcourse/internal/endpoint"
)

// MembersPath is where the list is.
const MembersPath = "/catalog/members"

// Client is a roster.Source that follows the agent at the last address of At.
type Client struct {
	Addresses <-chan string // its address; a further one takes the place of the one before
	Cached    []byte        // the list as the node last had it; empty for none
}

// watchWait is how long one call may be held. What an agent has to tell while a connection is dead counts as told
// two seconds after the wait ends, so short ones find out soon.
const watchWait = 1500 * time.Millisecond

// responseGrace is how long after the wait an answer still comes from an agent that works.
const responseGrace = 400 * time.Millisecond

// minCallInterval is how long after a call that failed, or that brought nothing new, the next one follows at the earliest. An agent
// is on the node's own machine, and a watch goes on if the next call arrives within twice that time.
const minCallInterval = 100 * time.Millisecond

// bodyIdleTimeout is how long an answer that has begun may bring nothing before it counts as broken, and longest bounds it in all: a
// crowded agent takes its time for a long list.
const (
	bodyIdleTimeout = time.Second
	responseTimeout = 30 * time.Second
)

// Run is roster.Source's.
func (c Client) Run(ctx context.Context, onList func(endpoint.List), onError func(error)) {
	state := &catalog.Catalog{}
	apply := func(body []byte) (bool, error) {
		changed, invalid, err := state.Apply(body)
		if len(invalid) > 0 {
			onError(fmt.Errorf("entries that make no sense are left out: %q", invalid))
		}
		if changed {
			onList(state.List())
		}
		return changed, err
	}
	if len(c.Cached) > 0 {
		if _, err := apply(c.Cached); err != nil {
			onError(fmt.Errorf("the list known from before: %w", err))
		}
	}
	for address := ""; ; {
		watchContext, cancel := context.WithCancel(ctx)
		done := make(chan struct{})
		if address != "" {
			go func() {
				defer close(done)
				watch(watchContext, address, state, apply, onError)
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

// watch asks one agent until ctx ends. The first question is for the whole list, whatever is known.
func watch(ctx context.Context, address string, state *catalog.Catalog, apply func([]byte) (bool, error), onError func(error)) {
	client := &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 1, DisableCompression: true}}
	defer client.CloseIdleConnections()
	query, lastError := "", ""
	for ctx.Err() == nil {
		started := time.Now()
		changed := false
		body, err := fetch(ctx, client, "http://"+address+MembersPath+query)
		if err == nil {
			changed, err = apply(body)
		}
		if ctx.Err() != nil {
			return
		}
		pause := minCallInterval
		switch {
		case err == nil:
			query, lastError = state.Query(int(watchWait.Milliseconds())), ""
			if pause -= time.Since(started); changed {
				pause = 0
			}
		case err.Error() != lastError:
			lastError = err.Error()
			onError(fmt.Errorf("discovery %s: %w; the list before stays", address, err))
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

// fetch makes one call. The agent has the time of the watch to begin its answer; after that the answer may take longer, as
// long as it goes on.
func fetch(ctx context.Context, client *http.Client, url string) ([]byte, error) {
	ctx, cancel := context.WithTimeout(ctx, responseTimeout)
	defer cancel()
	idleTimer := time.AfterFunc(watchWait+responseGrace, cancel)
	defer idleTimer.Stop()
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, url, nil)
	if err != nil {
		return nil, err
	}
	response, err := client.Do(request)
	if err != nil {
		return nil, err
	}
	defer response.Body.Close()
	idleTimer.Reset(bodyIdleTimeout)
	body, err := io.ReadAll(io.LimitReader(idleReader{response.Body, idleTimer}, catalog.MaxResponseBytes+1))
	switch {
	case err != nil:
		return nil, err
	case response.StatusCode != http.StatusOK:
		return nil, errors.New("it answers " + response.Status)
	}
	return body, nil
}

// idleReader puts the end of the silence off at each read that brings something.
type idleReader struct {
	source    io.Reader
	idleTimer *time.Timer
}

func (r idleReader) Read(into []byte) (int, error) {
	n, err := r.source.Read(into)
	if n > 0 {
		r.idleTimer.Reset(bodyIdleTimeout)
	}
	return n, err
}
