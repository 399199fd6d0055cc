// Package apierror writes error responses for callers and operators in the JSON
// format of the OpenAI API.
package apierror

import (
	"encoding/json"
	"math/rand/v2"
	"net/http"
	"strconv"
	"time"

	"github.com/magnoliausher/magnoliausher/attempt"
	"github.com/magnoliausher/magnoliausher/effect"
	"github.com/magnoliausher/magnoliausher/finding"
)

// ExecutedHeader is the response header that tells whether the request may have had
// an effect.
const ExecutedHeader = "X-Request-Executed"

// Error describes a rejected or failed request.
type Error struct {
	Status     int              // HTTP status; see ResponseStatus
	Type       string           // e.g. invalid_request_error, rate_limit_error
	Code       string           // stable error code, also the label of the counter of rejected requests
	Message    string           // human-readable description
	Param      string           // the invalid field or parameter, if any
	Executed   attempt.Executed // whether the request may have had an effect; empty if ReadOnly is set
	ReadOnly   bool             // the request only reads, so it has no effect
	RetryAfter time.Duration    // 0 for none; up to half of it is added as jitter
	Findings   finding.List
	Details    any // additional machine-readable information, encoded as JSON; nil for none
}

// Error returns the code and message.
func (e *Error) Error() string { return e.Code + ": " + e.Message }

// Outcome returns what is known of the effect of the request.
func (e *Error) Outcome() effect.Outcome {
	if e.ReadOnly {
		return effect.NotPerformed
	}
	return e.Executed.Outcome()
}

// ResponseStatus returns the status of the response, which promises that the request has
// no effect only if that is known.
func (e *Error) ResponseStatus() int { return e.Outcome().Status(e.Status) }

type errorBody struct {
	Error errorObject `json:"error"`
}

type errorObject struct {
	Message  string       `json:"message"`
	Type     string       `json:"type"`
	Code     string       `json:"code"`
	Param    string       `json:"param,omitempty"`
	Executed string       `json:"executed,omitempty"`
	Findings finding.List `json:"findings,omitempty"`
	Details  any          `json:"details,omitempty"`
}

// JSON returns the error's response body, which is also used in error events of
// streams.
func (e *Error) JSON() []byte {
	b, err := json.Marshal(errorBody{Error: errorObject{
		Message: e.Message, Type: e.Type, Code: e.Code, Param: e.Param,
		Executed: string(e.Executed), Findings: e.Findings, Details: e.Details,
	}})
	if err != nil { // Details holds only types that can always be encoded
		panic(err)
	}
	return b
}

// Write writes the error as the response.
func Write(w http.ResponseWriter, e *Error) {
	h := w.Header()
	h.Set("Content-Type", "application/json")
	if e.Executed != "" {
		h.Set(ExecutedHeader, string(e.Executed))
	}
	if e.RetryAfter > 0 {
		h.Set("Retry-After", strconv.Itoa(retryAfterSeconds(e.RetryAfter)))
	}
	w.WriteHeader(e.ResponseStatus())
	_, _ = w.Write(append(e.JSON(), '\n')) // the caller may have disconnected
}

// retryAfterSeconds adds jitter, so that rejected callers do not all retry at once.
func retryAfterSeconds(d time.Duration) int {
	jitter := time.Duration(rand.Int64N(int64(d)/2 + 1))
	return int((d + jitter + time.Second - 1) / time.Second)
}
