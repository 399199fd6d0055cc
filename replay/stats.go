package replay

import (
	"time"

	"github.com/magnoliausher/magnoliausher/admission"
	"github.com/magnoliausher/magnoliausher/workload"
)

// stats collects the data of the result and the report. Samples are in µs, grouped by
// the second in which they were taken.
type stats struct {
	online, ok, refused, failed, wrongLength, cancelled int
	nonRepeatableRunTwice                               int
	tokenGaps                                           int
	firstTokens                                         [][]uint32
	intervals                                           [][]uint32
	firstTokensWaiting                                  [][]uint32 // samples while batch work is pending
	intervalsWaiting                                    [][]uint32
	refusals                                            map[admission.Reason]int // never iterated, since map order is random
	crashes                                             map[uint64]int           // by fingerprint; only the maximum is used, which is independent of map order

	batchItems, batchFailed int
	perSecond               []secondCounts
	openJobs                int
	waitingSince            time.Duration
	batchWaiting            time.Duration // total time with pending batch work
	onlineTokensBefore      int           // value of onlineTokens at waitingSince
	onlineTokens            int
	onlineTokensWaiting     int // online tokens while batch work was pending
	batchStarts             int // started batch attempts
	faults                  []faultRecord
}

// secondCounts counts the batch items of one second.
type secondCounts struct {
	completed, preempted int
}

// faultRecord is a fault for the report.
type faultRecord struct {
	at    time.Duration
	fault *workload.Fault
}

func (s *stats) recordFirstToken(now, took time.Duration) {
	s.onlineTokens++
	s.firstTokens = addSample(s.firstTokens, now, took)
	if s.openJobs > 0 {
		s.firstTokensWaiting = addSample(s.firstTokensWaiting, now, took)
	}
}

func (s *stats) recordInterval(now, took time.Duration) {
	s.onlineTokens++
	s.intervals = addSample(s.intervals, now, took)
	if s.openJobs > 0 {
		s.intervalsWaiting = addSample(s.intervalsWaiting, now, took)
	}
}

func addSample(list [][]uint32, now, took time.Duration) [][]uint32 {
	i := int(now / time.Second)
	for len(list) <= i {
		list = append(list, nil)
	}
	list[i] = append(list[i], uint32(took/time.Microsecond))
	return list
}

func (s *stats) secondAt(now time.Duration) *secondCounts {
	i := int(now / time.Second)
	for len(s.perSecond) <= i {
		s.perSecond = append(s.perSecond, secondCounts{})
	}
	return &s.perSecond[i]
}

func (s *stats) recordBatchStart()                         { s.batchStarts++ }
func (s *stats) recordPreemption(now time.Duration)        { s.secondAt(now).preempted++ }
func (s *stats) recordCommit(now time.Duration, items int) { s.secondAt(now).completed += items }

func (s *stats) recordFault(now time.Duration, f *workload.Fault) {
	s.faults = append(s.faults, faultRecord{at: now, fault: f})
}

// jobOpened and jobEnded measure the time with pending batch work, in which at least
// one accepted item has no committed result.
func (s *stats) jobOpened(now time.Duration) {
	if s.openJobs == 0 {
		s.waitingSince = now
		s.onlineTokensBefore = s.onlineTokens
	}
	s.openJobs++
}

func (s *stats) jobEnded(now time.Duration) {
	s.openJobs--
	if s.openJobs == 0 {
		s.batchWaiting += now - s.waitingSince
		s.onlineTokensWaiting += s.onlineTokens - s.onlineTokensBefore
	}
}

func (s *stats) recordEnd(rq *request) {
	if !rq.spec.Repeatable && rq.executions > 1 {
		s.nonRepeatableRunTwice++
	}
	switch rq.state {
	case requestCompleted:
		s.ok++
		if rq.delivered != rq.spec.OutputTokens {
			s.wrongLength++
		}
	case requestRefused:
		s.refused++
	case requestCancelled:
		s.cancelled++
	default:
		s.failed++
	}
}
