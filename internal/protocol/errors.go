package protocol

import "errors"

// ErrMalformedPrefillResponse is wrapped by the errors of ParseReservation for a body that can't be decoded.
var ErrMalformedPrefillResponse = errors.New("prefill response is not JSON")
