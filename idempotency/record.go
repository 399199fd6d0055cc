// Package idempotency keeps an intent row in the platform's table for each
// call that must not be repeated and carries an idempotency key, so that a
// resend on any entry finds what became of the first one.
//
// A row is inserted before dispatch and names the attempt that may run. It
// moves to done, unknown or not_run and is removed after its retention. Only a
// row in state not_run is ever taken over, by a conditional write, and an
// attempt marks its row not_run only after it has given up dispatching. So at
// most one attempt per key is ever dispatched and not refused.
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

// State of an intent row.
type State string

// States of an intent row.
const (
	StateStarted State = "begun"   // the attempt may be running
	StateDone    State = "done"    // the answer is recorded
	StateUnknown State = "unknown" // the attempt may have run; there is no answer
	StateNotRun  State = "not_run" // the attempt was not run and never will be
)

// Record is the value of an intent row.
type Record struct {
	State       State      `json:"state"`
	Attempt     attempt.ID `json:"attempt"`
	RequestHash string     `json:"body"` // HashRequest of the call
	StartedAt   time.Time  `json:"begun"`
	Deadline    time.Time  `json:"deadline"` // after it the attempt has ended, by the entry's clock
	Response    *Response  `json:"answer,omitempty"`
}

// Response is a recorded answer.
type Response struct {
	Status int         `json:"status"`
	Header http.Header `json:"header,omitempty"`
	Body   []byte      `json:"body,omitempty"`
	Object string      `json:"object,omitempty"` // key of the object that holds a large body
}

// Call identifies one call that must not be repeated.
type Call struct {
	Caller      string
	Key         string // the caller's Idempotency-Key
	Attempt     attempt.ID
	RequestHash string    // HashRequest of service, method, path and body
	Deadline    time.Time // after it the attempt is not running any more
}

// MaxKeyBytes bounds an Idempotency-Key.
const MaxKeyBytes = 255

// HashRequest hashes what two calls with the same key must have in common.
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

// rowKey escapes both parts, so that a key with a slash cannot name the row of
// another caller.
func rowKey(c *Call) string {
	return rowPrefix + url.PathEscape(c.Caller) + "/" + url.PathEscape(c.Key)
}

const expiryPrefix = "intent-expiry/"

// expiryKey is the key of the row that lists an intent by its age, so that the
// removal reads only old intents. It is written together with the intent row.
func expiryKey(intentKey string, begun time.Time) string {
	return fmt.Sprintf("%s%012d/%s", expiryPrefix, begun.Unix(), strings.TrimPrefix(intentKey, rowPrefix))
}

// parseExpiryKey returns the intent row and the second in which it was begun.
func parseExpiryKey(key string) (intentKey string, begun time.Time, err error) {
	second, rest, ok := strings.Cut(strings.TrimPrefix(key, expiryPrefix), "/")
	unix, parseErr := strconv.ParseInt(second, 10, 64)
	if !ok || parseErr != nil {
		return "", time.Time{}, trace.BadParameter("malformed key %q", key)
	}
	return rowPrefix + rest, time.Unix(unix, 0), nil
}

func encode(r *Record) []byte {
	b, err := json.Marshal(r)
	if err != nil { // only strings, times and bytes inside
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

// Outcome is what the entry does with a call.
type Outcome string

// Outcomes of Begin.
const (
	Fresh       Outcome = "fresh"       // dispatch, then end the intent
	Recorded    Outcome = "recorded"    // replay the answer
	InProgress  Outcome = "in_progress" // another attempt may be running
	Unknown     Outcome = "unknown"     // an earlier attempt may have run; its answer is lost
	Mismatch    Outcome = "mismatch"    // the key was used for another call
	Unavailable Outcome = "unavailable" // not run; the row could not be written for certain
)

// judge decides on an existing row, for a call whose attempt id differs.
func judge(r *Record, c *Call, now time.Time) Outcome {
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
