// Package apierror writes the errors that callers and operators see, in the
// JSON form of the OpenAI API.
package apierror

import (
	"encoding/json"
	"math/rand/v2"
	"net/http"
	"strconv"
	"time"

	"github.com/magnoliausher/magnoliausher/attempt"
	"github.com/magnoliausher/magnoliausher/finding"
)

// ExecutedHeader tells whether the request can have had an effect.
const ExecutedHeader = "X-Request-Executed"

// Error is one refused or failed request.
type Error struct {
	Status     int              // HTTP status
	Type       string           // e.g. invalid_request_error, rate_limit_error
	Code       string           // stable reason, also the label of the refusal counter
	Message    string           // for people
	Param      string           // the field at fault, if any
	Executed   attempt.Executed // empty for requests that are never run, such as reads
	RetryAfter time.Duration    // 0 for none; up to half of it is added as jitter
	Findings   finding.List
	Details    any // further facts for programs, encoded as JSON; nil for none
}

// Error gives code and message.
func (e *Error) Error() string { return e.Code + ": " + e.Message }

type body struct {
	Error detail `json:"error"`
}

type detail struct {
	Message  string       `json:"message"`
	Type     string       `json:"type"`
	Code     string       `json:"code"`
	Param    string       `json:"param,omitempty"`
	Executed string       `json:"executed,omitempty"`
	Findings finding.List `json:"findings,omitempty"`
	Details  any          `json:"details,omitempty"`
}

// JSON gives the error's body, as it also stands in an error event of a stream.
func (e *Error) JSON() []byte {
	b, err := json.Marshal(body{Error: detail{
		Message: e.Message, Type: e.Type, Code: e.Code, Param: e.Param,
		Executed: string(e.Executed), Findings: e.Findings, Details: e.Details,
	}})
	if err != nil { // details are plain structures
		panic(err)
	}
	return b
}

// Write sends the error as a response.
func Write(w http.ResponseWriter, e *Error) {
	h := w.Header()
	h.Set("Content-Type", "application/json")
	if e.Executed != "" {
		h.Set(ExecutedHeader, string(e.Executed))
	}
	if e.RetryAfter > 0 {
		h.Set("Retry-After", strconv.Itoa(retrySeconds(e.RetryAfter)))
	}
	w.WriteHeader(e.Status)
	_, _ = w.Write(append(e.JSON(), '\n')) // the caller may be gone
}

// retrySeconds adds jitter, so that refused callers do not return together.
func retrySeconds(d time.Duration) int {
	jitter := time.Duration(rand.Int64N(int64(d)/2 + 1))
	return int((d + jitter + time.Second - 1) / time.Second)
}
