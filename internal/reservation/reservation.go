// Package reservation tracks the prefill state that engines reserve for this router's requests: which reservations may
// exist, where, and when a release of one is due. The package does no I/O.
//
// A reservation may exist from the moment at which the last byte of its prefill request may have arrived. It is removed from
// the table once an attempt has consumed it, or once an engine has acknowledged a release at a time at which nothing can
// restore the reservation. An acknowledgement proves nothing while an attempt may still claim the reservation: an
// engine frees only what no attempt waits for, and it may see the connection of an abandoned attempt close after the
// release has arrived. So releases are repeated for as long as such an attempt, or an abandoned prefill, may be running: until its
// engine has ended its side of the connection, or else for as long as engines may take to notice.
package reservation

import "fmt"

// ID identifies a reservation by its request and the index of the attempt that was the prefill.
type ID struct {
	Request string
	Attempt int
}

// Reservation is prefill state that an engine holds, or may hold. Its times are in nanoseconds.
type Reservation struct {
	ID         ID
	Engine     string
	State      State
	KnownSince int64
	DueAt      int64 // time at which a release is due next

	// ReleaseTargets are the engines that the releases since the last acknowledgement were sent to.
	ReleaseTargets []string
	// Round numbers the rounds of releases. Acknowledgements of releases of an earlier round are ignored.
	Round int

	unclaimedSince      int64 // start of the known time without an attempt in flight that may consume the reservation
	attemptAbandoned    bool  // the attempt that was to consume the reservation may have arrived
	attemptsEnded       bool  // the engines have ended all abandoned attempts
	horizon             int64 // releases are repeated until this time
	unacknowledgedSince int64 // start of the time in which releases were not acknowledged; 0 without an open release
	unacknowledgedCount int   // number of releases since the last acknowledgement
	acknowledgements    int
	positions           positions
}

// Acknowledged reports whether an engine has acknowledged a release.
func (r *Reservation) Acknowledged() bool { return r.acknowledgements > 0 }

// AttemptsEnded reports whether no attempt is left that an acknowledged release could miss, as engines have ended those that were
// abandoned.
func (r *Reservation) AttemptsEnded() bool { return r.attemptsEnded }

// UnclaimedSince returns the start of the known time without an attempt in flight that may consume the reservation.
func (r *Reservation) UnclaimedSince() int64 { return r.unclaimedSince }

// Fingerprint returns all state that the handling of later events depends on, as a text with times relative to now.
func (r *Reservation) Fingerprint(now int64) string {
	unacknowledgedFor := int64(-1)
	if r.unacknowledgedSince > 0 {
		unacknowledgedFor = now - r.unacknowledgedSince
	}
	return fmt.Sprint(r.ID, r.Engine, r.State, r.DueAt-now, max(0, r.horizon-now), unacknowledgedFor, r.unacknowledgedCount,
		r.acknowledgements, r.ReleaseTargets, r.attemptAbandoned, r.attemptsEnded)
}

// startRound starts a new round of releases, after which acknowledgements of the releases so far are ignored.
func (r *Reservation) startRound() {
	r.Round++
	r.unacknowledgedSince, r.unacknowledgedCount, r.ReleaseTargets = 0, 0, nil
}
