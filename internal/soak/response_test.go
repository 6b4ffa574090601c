package soak

import (
	"io"
	"net/http"
	"testing"

	"sandcourse/internal/audit"
)

func TestResponseOutcome(t *testing.T) {
	for _, c := range []struct {
		status int
		err    error
		want   audit.Outcome
	}{
		{http.StatusOK, nil, audit.OutcomeCompleted},
		{http.StatusOK, io.ErrUnexpectedEOF, audit.OutcomeErrored},
		{http.StatusServiceUnavailable, nil, audit.OutcomeShed},
		{http.StatusTooManyRequests, io.ErrUnexpectedEOF, audit.OutcomeShed},
		{http.StatusGatewayTimeout, nil, audit.OutcomeErrored},
	} {
		if got := responseOutcome(c.status, c.err); got != c.want {
			t.Errorf("%d %v: %s, want %s", c.status, c.err, got, c.want)
		}
	}
}
