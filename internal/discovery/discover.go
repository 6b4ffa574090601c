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

// Path is where the list is.
const Path = "/catalog/members"

// Agent is a roster.Source that follows the agent at the last address of At.
type Agent struct {
	At    <-chan string // its address; a further one takes the place of the one before
	Known []byte        // the list as the node last had it; empty for none
}

// wait is how long one call may be held. What an agent has to tell while a connection is dead counts as told
// two seconds after the wait ends, so short ones find out soon.
const wait = 1500 * time.Millisecond

// late is how long after the wait an answer still comes from an agent that works.
const late = 400 * time.Millisecond

// again is how long after a call that failed, or that brought nothing new, the next one follows at the earliest. An agent
// is on the node's own machine, and a watch goes on if the next call arrives within twice that time.
const again = 100 * time.Millisecond

// quiet is how long an answer that has begun may bring nothing before it counts as broken, and longest bounds it in all: a
// crowded agent takes its time for a long list.
const (
	quiet   = time.Second
	longest = 30 * time.Second
)

// Run is roster.Source's.
func (a Agent) Run(ctx context.Context, take func(endpoint.List), fault func(error)) {
	known := &catalog.Catalog{}
	hear := func(answer []byte) (bool, error) {
		news, odd, err := known.Take(answer)
		if len(odd) > 0 {
			fault(fmt.Errorf("entries that make no sense are left out: %q", odd))
		}
		if news {
			take(known.List())
		}
		return news, err
	}
	if len(a.Known) > 0 {
		if _, err := hear(a.Known); err != nil {
			fault(fmt.Errorf("the list known from before: %w", err))
		}
	}
	for at := ""; ; {
		call, cancel := context.WithCancel(ctx)
		over := make(chan struct{})
		if at != "" {
			go func() {
				defer close(over)
				follow(call, at, known, hear, fault)
			}()
		} else {
			close(over)
		}
		select {
		case <-ctx.Done():
		case at = <-a.At:
		}
		cancel()
		<-over
		if ctx.Err() != nil {
			return
		}
	}
}

// follow asks one agent until ctx ends. The first question is for the whole list, whatever is known.
func follow(ctx context.Context, at string, known *catalog.Catalog, hear func([]byte) (bool, error), fault func(error)) {
	client := &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 1, DisableCompression: true}}
	defer client.CloseIdleConnections()
	query, said := "", ""
	for ctx.Err() == nil {
		begun := time.Now()
		news := false
		answer, err := ask(ctx, client, "http://"+at+Path+query)
		if err == nil {
			news, err = hear(answer)
		}
		if ctx.Err() != nil {
			return
		}
		pause := again
		switch {
		case err == nil:
			query, said = known.Query(int(wait.Milliseconds())), ""
			if pause -= time.Since(begun); news {
				pause = 0
			}
		case err.Error() != said:
			said = err.Error()
			fault(fmt.Errorf("discovery %s: %w; the list before stays", at, err))
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

// ask makes one call. The agent has the time of the watch to begin its answer; after that the answer may take longer, as
// long as it goes on.
func ask(ctx context.Context, client *http.Client, url string) ([]byte, error) {
	ctx, cancel := context.WithTimeout(ctx, longest)
	defer cancel()
	silence := time.AfterFunc(wait+late, cancel)
	defer silence.Stop()
	r, err := http.NewRequestWithContext(ctx, http.MethodGet, url, nil)
	if err != nil {
		return nil, err
	}
	answer, err := client.Do(r)
	if err != nil {
		return nil, err
	}
	defer answer.Body.Close()
	silence.Reset(quiet)
	body, err := io.ReadAll(io.LimitReader(watchedReader{answer.Body, silence}, catalog.MaxAnswer+1))
	switch {
	case err != nil:
		return nil, err
	case answer.StatusCode != http.StatusOK:
		return nil, errors.New("it answers " + answer.Status)
	}
	return body, nil
}

// watchedReader puts the end of the silence off at each read that brings something.
type watchedReader struct {
	from    io.Reader
	silence *time.Timer
}

func (r watchedReader) Read(into []byte) (int, error) {
	n, err := r.from.Read(into)
	if n > 0 {
		r.silence.Reset(quiet)
	}
	return n, err
}
