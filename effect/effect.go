// Package effect says what is known of the effect of a write or a request, and which
// status may be sent for it.
package effect

import "net/http"

// Outcome is what is known of the effect of a write or a request. A time-out, a
// cancellation, a retry or a relay leaves Unknown as it is. Only a read shows more:
// Performed if it finds the effect, NotPerformed if it does not and no call can have the
// effect any more.
type Outcome uint8

// Outcomes. The zero value promises nothing.
const (
	Unknown      Outcome = iota // it may have had the effect, or may have it later
	NotPerformed                // it has had no effect and never will
	Performed
)

// String returns the name of the outcome in logs and metrics.
func (o Outcome) String() string { return [...]string{"unknown", "not_performed", "performed"}[o] }

// Either returns what is known of two calls that each may have the same effect.
func (o Outcome) Either(other Outcome) Outcome {
	switch {
	case o == Performed || other == Performed:
		return Performed
	case o == NotPerformed && other == NotPerformed:
		return NotPerformed
	}
	return Unknown
}

// Promises reports whether a status tells the caller that its request has had no effect
// and never will, as the users' pages define.
func Promises(status int) bool {
	switch status {
	case http.StatusRequestTimeout, http.StatusMisdirectedRequest, http.StatusTooManyRequests, http.StatusServiceUnavailable:
		return true
	}
	return false
}

// Status returns the status of an error response. A status that promises that the request
// has no effect is returned only if that is known, and else 504, which promises nothing.
// Error responses of this project pass through it; TestStatusesPassThroughOutcome names
// the exceptions.
func (o Outcome) Status(status int) int {
	if Promises(status) && o != NotPerformed {
		return http.StatusGatewayTimeout
	}
	return status
}
