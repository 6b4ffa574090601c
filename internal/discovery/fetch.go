package discovery

import (
	"context"
	"io"
	"net/http"
	"time"

	"sandcourse/internal/discovery/catalog"
)

const (
	// responseGrace is how long after the end of the wait the response of a healthy agent may begin.
	responseGrace = 400 * time.Millisecond

	// bodyIdleTimeout is the maximum time without new bytes of a response that has begun. responseTimeout bounds the complete
	// response, as an overloaded agent may send a long list slowly.
	bodyIdleTimeout = time.Second
	responseTimeout = 30 * time.Second
)

// StatusError reports a response whose status is not 200.
type StatusError struct {
	Status string // code and text, such as "503 Service Unavailable"
}

// Error returns the status.
func (e *StatusError) Error() string { return "unexpected response status " + e.Status }

// fetch sends one request and returns the body of the response. The response must begin within responseGrace after the wait of
// the watch. It may then take up to responseTimeout in total, provided that bytes keep arriving.
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
	body, err := io.ReadAll(io.LimitReader(progressReader{response.Body, idleTimer}, catalog.MaxResponseBytes+1))
	switch {
	case err != nil:
		return nil, err
	case response.StatusCode != http.StatusOK:
		return nil, &StatusError{response.Status}
	}
	return body, nil
}

// progressReader restarts the idle timer at each read that returns bytes.
type progressReader struct {
	source    io.Reader
	idleTimer *time.Timer
}

// Read implements io.Reader.
func (r progressReader) Read(into []byte) (int, error) {
	n, err := r.source.Read(into)
	if n > 0 {
		r.idleTimer.Reset(bodyIdleTimeout)
	}
	return n, err
}
