package effect

import (
	"net/http"
	"testing"

	"github.com/leanovate/gopter"
	"github.com/leanovate/gopter/gen"
	"github.com/leanovate/gopter/prop"
)

var anyOutcome = gen.OneConstOf(Unknown, NotPerformed, Performed)

// Guards against a promise of "not run" after any call whose effect is not excluded.
func TestPromiseNeedsEveryCallNotPerformed(t *testing.T) {
	properties := gopter.NewProperties(nil)
	properties.Property("a promise needs every call to be not performed", prop.ForAll(func(calls []Outcome, status int) bool {
		known, excluded := NotPerformed, true
		for _, o := range calls {
			known = known.Either(o)
			excluded = excluded && o == NotPerformed
		}
		return Promises(known.Status(status)) == (excluded && Promises(status)) && (Promises(status) || known.Status(status) == status)
	}, gen.SliceOf(anyOutcome), gen.OneConstOf(http.StatusRequestTimeout, http.StatusMisdirectedRequest, http.StatusTooManyRequests,
		http.StatusServiceUnavailable, http.StatusBadGateway, http.StatusGatewayTimeout, http.StatusNotFound)))
	properties.Property("the order of calls does not matter", prop.ForAll(func(a, b, c Outcome) bool {
		return a.Either(b) == b.Either(a) && a.Either(b).Either(c) == a.Either(b.Either(c))
	}, anyOutcome, anyOutcome, anyOutcome))
	properties.TestingRun(t)
}

// Guards against a forgotten outcome that counts as a promise.
func TestZeroOutcomePromisesNothing(t *testing.T) {
	var o Outcome
	if got := o.Status(http.StatusServiceUnavailable); got != http.StatusGatewayTimeout {
		t.Errorf("got %d", got)
	}
}
