package job

import (
	"net/http"

	"github.com/magnoliausher/magnoliausher/attempt"
)

// maxUpstreamCrashes is the number of upstream crashes after which an item fails.
const maxUpstreamCrashes = 2

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
	retry         bool // the item becomes ready again
	countsAttempt bool // the attempt counts against MaxAttempts
	countsCrash   bool
	keepOutput    bool   // keep the output, so that the next attempt resumes from it
	code          string // error code of an item that ends without a response
}

// decide returns the next step after an attempt of an item; attempts and crashes
// are the counts before it. Non-repeatable items are retried only if the attempt
// certainly had no effect.
func decide(attempts, crashes int, repeatable bool, o outcome) decision {
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
	v := decision{countsAttempt: true, countsCrash: o.crashed, keepOutput: true}
	switch {
	case o.crashed && crashes+1 >= maxUpstreamCrashes:
		v.code = codeCrashes
	case attempts+1 >= MaxAttempts:
		v.code = codeAttempts
	default:
		v.retry = true
	}
	return v
}

func retryableStatus(status int) bool {
	return status >= http.StatusInternalServerError ||
		status == http.StatusTooManyRequests || status == http.StatusRequestTimeout
}
