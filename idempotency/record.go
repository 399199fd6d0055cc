// Package idempotency stores an intent row in the platform's table for each
// non-repeatable call with an idempotency key, so that a resend through any entry finds
// the outcome of the first one.
//
// A row is inserted before dispatch and names the attempt that may run. It changes to
// done, unknown or not_run and is removed after its retention. Only a row in state
// not_run can be taken over, by a conditional write, and an attempt marks its row
// not_run only after it has stopped dispatching. So at most one attempt per key is
// dispatched without being refused.
package idempotency

import (
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"fmt"
	"net/http"
	"net/url"
	"strconv"
	"strings"
	"time"

	"github.com/gravitational/trace"

	"github.com/magnoliausher/magnoliausher/attempt"
)

// State is the state of an intent row.
type State string

// States of an intent row.
const (
	StateStarted State = "begun"   // the attempt may be running
	StateDone    State = "done"    // the response is recorded
	StateUnknown State = "unknown" // the attempt may have run; there is no response
	StateNotRun  State = "not_run" // the attempt was not run and never will be
)

// Record is the value of an intent row.
type Record struct {
	State       State      `json:"state"`
	Attempt     attempt.ID `json:"attempt"`
	RequestHash string     `json:"body"` // HashRequest of the call
	StartedAt   time.Time  `json:"begun"`
	Deadline    time.Time  `json:"deadline"` // the attempt has ended by then, by the entry's clock
	Response    *Response  `json:"answer,omitempty"`
}

// Response is a recorded response.
type Response struct {
	Status int         `json:"status"`
	Header http.Header `json:"header,omitempty"`
	Body   []byte      `json:"body,omitempty"`
	Object string      `json:"object,omitempty"` // key of the object that stores a large body
}

// Call identifies a non-repeatable call.
type Call struct {
	Caller      string
	Key         string // the caller's Idempotency-Key
	Attempt     attempt.ID
	RequestHash string    // HashRequest of service, method, path and body
	Deadline    time.Time // the attempt no longer runs after it
}

// MaxKeyBytes bounds an Idempotency-Key.
const MaxKeyBytes = 255

// HashRequest hashes the parts in which calls with the same key must agree.
func HashRequest(service, method, path string, body []byte) string {
	h := sha256.New()
	for _, part := range []string{service, method, path} {
		h.Write([]byte(part))
		h.Write([]byte{0})
	}
	h.Write(body)
	return hex.EncodeToString(h.Sum(nil))
}

const rowPrefix = "intent/"

// rowKey escapes both parts, so that a key with a slash cannot address the row of
// another caller.
func rowKey(c *Call) string {
	return rowPrefix + url.PathEscape(c.Caller) + "/" + url.PathEscape(c.Key)
}

const expiryPrefix = "intent-expiry/"

// expiryKey returns the key of the row that indexes an intent by age, so that Sweep
// reads only old intents. Both rows are written in one transaction.
func expiryKey(intentKey string, startedAt time.Time) string {
	return fmt.Sprintf("%s%012d/%s", expiryPrefix, startedAt.Unix(), strings.TrimPrefix(intentKey, rowPrefix))
}

// parseExpiryKey returns the key of the intent row and the second in which it was
// started.
func parseExpiryKey(key string) (intentKey string, startedAt time.Time, err error) {
	second, rest, ok := strings.Cut(strings.TrimPrefix(key, expiryPrefix), "/")
	unix, parseErr := strconv.ParseInt(second, 10, 64)
	if !ok || parseErr != nil {
		return "", time.Time{}, trace.BadParameter("malformed expiry key %q", key)
	}
	return rowPrefix + rest, time.Unix(unix, 0), nil
}

func encode(r *Record) []byte {
	b, err := json.Marshal(r)
	if err != nil { // cannot happen: only strings, times and bytes
		panic(err)
	}
	return b
}

func decode(value []byte) (*Record, error) {
	var r Record
	if err := json.Unmarshal(value, &r); err != nil {
		return nil, trace.Wrap(err, "intent row is malformed")
	}
	return &r, nil
}

// Outcome states how the entry handles a call.
type Outcome string

// Outcomes of Begin.
const (
	Fresh       Outcome = "fresh"       // dispatch the call, then end the intent
	Recorded    Outcome = "recorded"    // replay the response
	InProgress  Outcome = "in_progress" // another attempt may be running
	Unknown     Outcome = "unknown"     // an earlier attempt may have run; its response is lost
	Mismatch    Outcome = "mismatch"    // the key was used for another call
	Unavailable Outcome = "unavailable" // not run; the row is not certain to have been written
)

// evaluate returns the outcome for a call whose attempt ID differs from that of the
// existing row.
func evaluate(r *Record, c *Call, now time.Time) Outcome {
	switch {
	case r.RequestHash != c.RequestHash:
		return Mismatch
	case r.State == StateDone:
		return Recorded
	case r.State == StateNotRun:
		return Fresh
	case r.State == StateStarted && now.Before(r.Deadline):
		return InProgress
	}
	return Unknown
}
