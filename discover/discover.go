// Package discover follows the platform's discovery for one node: an agent that is asked over HTTP and
// answers when there is news.
package discover

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net/http"
	"time"

	"sandcourse/catalog"
	"sandcourse/roster"
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

// again is how long after a call that failed the next one follows: an agent is on the node's own machine.
const again = 100 * time.Millisecond

// Run is roster.Source's.
func (a Agent) Run(ctx context.Context, take func(roster.List), fault func(error)) {
	known := &catalog.Catalog{}
	hear := func(answer []byte) error {
		news, odd, err := known.Take(answer)
		if len(odd) > 0 {
			fault(fmt.Errorf("entries that make no sense are left out: %q", odd))
		}
		if news {
			take(known.List())
		}
		return err
	}
	if len(a.Known) > 0 {
		if err := hear(a.Known); err != nil {
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
func follow(ctx context.Context, at string, known *catalog.Catalog, hear func([]byte) error, fault func(error)) {
	client := &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 1, DisableCompression: true}}
	defer client.CloseIdleConnections()
	query, said := "", ""
	for ctx.Err() == nil {
		answer, err := ask(ctx, client, "http://"+at+Path+query)
		if err == nil {
			err = hear(answer)
		}
		if ctx.Err() != nil {
			return
		}
		if err == nil {
			query, said = known.Query(int(wait.Milliseconds())), ""
			continue
		}
		if err.Error() != said {
			said = err.Error()
			fault(fmt.Errorf("discovery %s: %w; the list before stays", at, err))
		}
		select {
		case <-ctx.Done():
		case <-time.After(again):
		}
	}
}

func ask(ctx context.Context, client *http.Client, url string) ([]byte, error) {
	ctx, cancel := context.WithTimeout(ctx, wait+late)
	defer cancel()
	r, err := http.NewRequestWithContext(ctx, http.MethodGet, url, nil)
	if err != nil {
		return nil, err
	}
	answer, err := client.Do(r)
	if err != nil {
		return nil, err
	}
	defer answer.Body.Close()
	body, err := io.ReadAll(io.LimitReader(answer.Body, catalog.MaxAnswer+1))
	switch {
	case err != nil:
		return nil, err
	case answer.StatusCode != http.StatusOK:
		return nil, errors.New("it answers " + answer.Status)
	}
	return body, nil
}
