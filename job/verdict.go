package job

import (
	"net/http"
	"time"

	"github.com/magnoliausher/magnoliausher/attempt"
)

// Delay before an item runs again after an upstream crashed under it. It doubles with
// each crash, so that an item does little harm even if it should be the cause.
const (
	crashRetryDelay    = time.Second
	maxCrashRetryDelay = time.Minute
)

// crashDelay returns the delay after a number of crashes.
func crashDelay(crashes int) time.Duration {
	delay := crashRetryDelay
	for n := 1; n < crashes && delay < maxCrashRetryDelay; n++ {
		delay *= 2
	}
	return min(delay, maxCrashRetryDelay)
}

// outcomeKind classifies how an attempt of an item ended.
type outcomeKind int

const (
	outcomeAnswered  outcomeKind = iota // complete response
	outcomeNotSent                      // the request was not sent
	outcomeRefused                      // the agent did not pass it to the upstream
	outcomePreempted                    // stopped for online requests or because this entry drains
	outcomeFailed
)

// outcome is the result of one attempt.
type outcome struct {
	kind     outcomeKind
	attempt  attempt.ID
	status   int    // answered
	body     []byte // answered
	reason   string // failed
	executed attempt.Executed
	crashed  bool   // the upstream crashed
	text     string // engines only: output of this attempt
	tokens   int
}

// decision is the next step for an item after an attempt.
type decision struct {
	retry         bool   // the item becomes ready again
	countsAttempt bool   // the attempt counts against MaxAttempts
	countsCrash   bool   // the next attempt waits for crashDelay
	keepOutput    bool   // keep the output, so that the next attempt resumes from it
	code          string // error code of an item that ends without a response
}

// decide returns the next step after an attempt of an item; attempts is the count
// before it. Non-repeatable items are retried only if the attempt certainly had no
// effect. An item is not to blame for crashes, however many happen while it runs: it
// stays owed until the job's deadline.
func decide(attempts int, repeatable bool, o outcome) decision {
	switch o.kind {
	case outcomeNotSent, outcomeRefused:
		return decision{retry: true}
	case outcomeAnswered:
		if repeatable && retryableStatus(o.status) && attempts+1 < MaxAttempts {
			return decision{retry: true, countsAttempt: true}
		}
		return decision{countsAttempt: true}
	}
	if !repeatable && o.executed != attempt.ExecutedNo {
		return decision{countsAttempt: true, code: codeUnknown}
	}
	if o.kind == outcomePreempted {
		return decision{retry: true, keepOutput: true}
	}
	if o.crashed {
		return decision{retry: true, countsCrash: true, keepOutput: true}
	}
	v := decision{countsAttempt: true, keepOutput: true}
	if attempts+1 >= MaxAttempts {
		v.code = codeAttempts
	} else {
		v.retry = true
	}
	return v
}

func retryableStatus(status int) bool {
	return status >= http.StatusInternalServerError ||
		status == http.StatusTooManyRequests || status == http.StatusRequestTimeout
}
