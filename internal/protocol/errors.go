package protocol

import "errors"

// ErrMalformedPrefillResponse is wrapped by the errors of ParseReservation for a body that can't be decoded.
var ErrMalformedPrefillResponse = errors.New("reader's answer is not JSON")
