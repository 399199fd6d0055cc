package replay

import (
	"time"

	"github.com/magnoliausher/magnoliausher/admission"
	"github.com/magnoliausher/magnoliausher/workload"
)

// stats collects what the result and the report need. Samples are in µs, by
// the second in which they were taken.
type stats struct {
	online, ok, refused, failed, wrong, cancelled int
	runTwice                                      int
	gaps                                          int
	firstTokens                                   [][]uint32
	intervals                                     [][]uint32
	firstTokensWaiting                            [][]uint32 // while batch work waits
	intervalsWaiting                              [][]uint32
	refusals                                      map[admission.Reason]int // never iterated
	crashes                                       map[uint64]int           // by fingerprint; only the maximum is taken

	batchItems, batchFailed int
	perSecond               []second
	openJobs                int
	waitingSince            time.Duration
	waiting                 time.Duration // time in which batch work waited
	onlineBefore            int           // online tokens before waitingSince
	onlineTokens            int
	onlineWaiting           int // online tokens in the time of waiting
	starts                  int // of batch attempts
	faults                  []marked
}

// second is the batch work of one second.
type second struct {
	completed, preempted int
}

// marked is a fault in the report.
type marked struct {
	at    time.Duration
	fault *workload.Fault
}

func (s *stats) firstToken(now, took time.Duration) {
	s.onlineTokens++
	s.firstTokens = add(s.firstTokens, now, took)
	if s.openJobs > 0 {
		s.firstTokensWaiting = add(s.firstTokensWaiting, now, took)
	}
}

func (s *stats) interval(now, took time.Duration) {
	s.onlineTokens++
	s.intervals = add(s.intervals, now, took)
	if s.openJobs > 0 {
		s.intervalsWaiting = add(s.intervalsWaiting, now, took)
	}
}

func add(list [][]uint32, now, took time.Duration) [][]uint32 {
	i := int(now / time.Second)
	for len(list) <= i {
		list = append(list, nil)
	}
	list[i] = append(list[i], uint32(took/time.Microsecond))
	return list
}

func (s *stats) at(now time.Duration) *second {
	i := int(now / time.Second)
	for len(s.perSecond) <= i {
		s.perSecond = append(s.perSecond, second{})
	}
	return &s.perSecond[i]
}

func (s *stats) batchStarted()                          { s.starts++ }
func (s *stats) preempted(now time.Duration)            { s.at(now).preempted++ }
func (s *stats) committed(now time.Duration, items int) { s.at(now).completed += items }

func (s *stats) faulted(now time.Duration, f *workload.Fault) {
	s.faults = append(s.faults, marked{at: now, fault: f})
}

// jobOpened and jobEnded measure the time in which batch work waits: some
// accepted item has no committed result.
func (s *stats) jobOpened(now time.Duration) {
	if s.openJobs == 0 {
		s.waitingSince = now
		s.onlineBefore = s.onlineTokens
	}
	s.openJobs++
}

func (s *stats) jobEnded(now time.Duration) {
	s.openJobs--
	if s.openJobs == 0 {
		s.waiting += now - s.waitingSince
		s.onlineWaiting += s.onlineTokens - s.onlineBefore
	}
}

func (s *stats) ended(rq *request) {
	if !rq.in.Repeatable && rq.executions > 1 {
		s.runTwice++
	}
	switch rq.state {
	case endWhole:
		s.ok++
		if rq.delivered != rq.in.OutputTokens {
			s.wrong++
		}
	case endRefused:
		s.refused++
	case endCancelled:
		s.cancelled++
	default:
		s.failed++
	}
}
