package protocol

import "errors"

// ErrMalformedPrefillResponse is wrapped by the errors that ParseReservation returns for a body that cannot be decoded.
var ErrMalformedPrefillResponse = errors.New("prefill response is not JSON")
