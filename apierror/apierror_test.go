package apierror

import (
	"net/http"
	"net/http/httptest"
	"testing"

	"github.com/leanovate/gopter"
	"github.com/leanovate/gopter/gen"
	"github.com/leanovate/gopter/prop"

	"github.com/magnoliausher/magnoliausher/attempt"
	"github.com/magnoliausher/magnoliausher/effect"
)

// Guards against a status that promises "not run" for a request that may have had an
// effect, or of which nothing is said, and against a missing promise for one that has not.
func TestWritePromisesOnlyWhatIsKnown(t *testing.T) {
	properties := gopter.NewProperties(nil)
	properties.Property("a promise needs a request without effect", prop.ForAll(func(status int, executed attempt.Executed, readOnly bool) bool {
		w := httptest.NewRecorder()
		Write(w, &Error{Status: status, Code: "c", Executed: executed, ReadOnly: readOnly})
		want := status
		if effect.Promises(status) && !readOnly && executed != attempt.ExecutedNo {
			want = http.StatusGatewayTimeout
		}
		return w.Code == want && w.Header().Get(ExecutedHeader) == string(executed)
	}, gen.OneConstOf(400, 404, 408, 409, 421, 429, 500, 502, 503, 504),
		gen.OneConstOf(attempt.ExecutedNo, attempt.ExecutedYes, attempt.ExecutedUnknown, attempt.Executed("")), gen.Bool()))
	properties.TestingRun(t)
}
