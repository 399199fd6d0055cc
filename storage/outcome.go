package storage

import (
	"errors"

	"github.com/gravitational/trace"

	"github.com/magnoliausher/magnoliausher/effect"
)

// WriteOutcome returns what is known of a write from its error: unknown if it matches
// ErrUnavailable, whatever else it matches, or none of the errors that exclude an effect.
func WriteOutcome(err error) effect.Outcome {
	switch {
	case err == nil:
		return effect.Performed
	case errors.Is(err, ErrUnavailable):
		return effect.Unknown
	case errors.Is(err, ErrConflict), errors.Is(err, ErrThrottled), errors.Is(err, ErrNotSent):
		return effect.NotPerformed
	}
	return effect.Unknown
}

// RepeatedWriteError returns the error of a write that was sent twice, under the same
// conditions, from the errors of the two calls. A conflict of the second call does not
// say whose write it met: if the first one may have taken effect, it was perhaps the own.
func RepeatedWriteError(first, second error) error {
	if second == nil || WriteOutcome(first) == effect.NotPerformed {
		return second
	}
	return trace.Wrap(ErrUnavailable, "no answer: %v; again: %v", first, second)
}
