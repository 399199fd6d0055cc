package job

import (
	"net/http"

	"github.com/magnoliausher/magnoliausher/attempt"
)

// maxCrashes is the number of upstream crashes after which an item is not run again.
const maxCrashes = 2

// outcomeKind says how an attempt of an item ended.
type outcomeKind int

const (
	outcomeAnswered  outcomeKind = iota // whole answer
	outcomeNotSent                      // nothing was sent
	outcomeRefused                      // the agent did not hand it to the upstream
	outcomePreempted                    // gave way to online work, or to this entry's drain
	outcomeFailed
)

// outcome is the end of one attempt.
type outcome struct {
	kind     outcomeKind
	attempt  attempt.ID
	status   int    // answered
	body     []byte // answered
	reason   string // failed
	executed attempt.Executed
	crashed  bool   // the upstream crashed
	text     string // engines: output of this attempt
	tokens   int
}

// verdict is what happens to the item next.
type verdict struct {
	again    bool // back to the ready items
	counted  bool // the attempt counts against MaxAttempts
	crashed  bool
	keepText bool   // the output is kept, to resume after
	code     string // final without an answer
}

// judge decides after an attempt of an item that had attempts and crashes
// before. Non-repeatable items run again only if the attempt certainly had no effect.
func judge(attempts, crashes int, repeatable bool, o outcome) verdict {
	switch o.kind {
	case outcomeNotSent, outcomeRefused:
		return verdict{again: true}
	case outcomeAnswered:
		if repeatable && retryableStatus(o.status) && attempts+1 < MaxAttempts {
			return verdict{again: true, counted: true}
		}
		return verdict{counted: true}
	}
	if !repeatable && o.executed != attempt.ExecutedNo {
		return verdict{counted: true, code: codeUnknown}
	}
	if o.kind == outcomePreempted {
		return verdict{again: true, keepText: true}
	}
	v := verdict{counted: true, crashed: o.crashed, keepText: true}
	switch {
	case o.crashed && crashes+1 >= maxCrashes:
		v.code = codeCrashes
	case attempts+1 >= MaxAttempts:
		v.code = codeAttempts
	default:
		v.again = true
	}
	return v
}

func retryableStatus(status int) bool {
	return status >= http.StatusInternalServerError ||
		status == http.StatusTooManyRequests || status == http.StatusRequestTimeout
}
