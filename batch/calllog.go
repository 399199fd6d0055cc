package batch

import (
	"fmt"
	"time"

	"github.com/rs/zerolog"

	"github.com/magnoliausher/magnoliausher/storage"
)

// callLog lists the store calls that a submission made, for its log line. Each entry has
// the call, when it was made after the submission's arrival and for how long, and what it
// was taken for.
type callLog struct {
	begun time.Time
	calls *zerolog.Array
}

func newCallLog() *callLog { return &callLog{begun: time.Now(), calls: zerolog.Arr()} }

// write adds a write that was sent at a time and has ended now.
func (l *callLog) write(call string, sent time.Time, err error) {
	l.add(call, sent, storage.WriteOutcome(err).String(), err)
}

// read adds a read that was sent at a time and has ended now.
func (l *callLog) read(call string, sent time.Time, found string, err error) {
	if err != nil {
		found = "failed"
	}
	l.add(call, sent, found, err)
}

func (l *callLog) add(call string, sent time.Time, taken string, err error) {
	entry := fmt.Sprintf("%s %d+%dms %s", call, sent.Sub(l.begun).Milliseconds(), time.Since(sent).Milliseconds(), taken)
	if err != nil {
		entry += ": " + err.Error()
	}
	l.calls.Str(entry)
}
