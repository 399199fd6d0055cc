// Package limit decides whether a request may start: token bucket and
// concurrency per caller, concurrency with a fair queue per service, and a
// budget for retries.
//
// Locks: a shard of Callers, a Gate and a RetryBudget have one mutex each, and
// no function holds two of them. A request passes Callers first and the Gate
// second, and releases them in reverse order.
package limit

import (
	"hash/maphash"
	"math"
	"sync"
	"time"

	"github.com/magnoliausher/magnoliausher/contract"
)

// Reason is why a request may not start; empty when it may.
type Reason string

// Reasons of refusals. They are also labels of the refusal counter.
const (
	Allowed           Reason = ""
	RateLimited       Reason = "rate_limited"
	CallerConcurrency Reason = "caller_concurrency"
	QueueFull         Reason = "queue_full"
	QueueDeadline     Reason = "queue_deadline" // the deadline cannot be met from the queue
	Displaced         Reason = "queue_displaced"
	Cancelled         Reason = "cancelled" // the caller left while queued
)

// Bucket is a token bucket. The zero value is full.
type Bucket struct {
	spent   float64 // tokens missing from a full bucket at updated
	updated time.Time
}

// Refill returns the bucket at now. rate is in tokens per second.
func (b Bucket) Refill(now time.Time, rate float64) Bucket {
	if b.spent == 0 {
		return Bucket{updated: now}
	}
	elapsed := now.Sub(b.updated)
	if elapsed <= 0 { // snapshots of the time may be out of order
		return b
	}
	return Bucket{spent: max(0, b.spent-elapsed.Seconds()*rate), updated: now}
}

// maxWait bounds the advice of Take, which a tiny rate would make overflow.
const maxWait = time.Hour

// Take removes one token. When there is none it returns the time until there is.
func (b Bucket) Take(now time.Time, rate float64, burst int) (next Bucket, wait time.Duration) {
	b = b.Refill(now, rate)
	size := float64(max(burst, 1))
	if b.spent+1 <= size {
		b.spent++
		return b, 0
	}
	missing := b.spent + 1 - size
	wait = time.Duration(math.Ceil(min(missing/rate, maxWait.Seconds()) * float64(time.Second)))
	return b, wait
}

// Full reports whether the bucket has all its tokens at now.
func (b Bucket) Full(now time.Time, rate float64) bool {
	return b.Refill(now, rate).spent == 0
}

// CallerState is the use that one caller makes of its limits.
type CallerState struct {
	Bucket     Bucket
	InProgress int
}

// Verdict is the decision on one request.
type Verdict struct {
	Reason     Reason
	RetryAfter time.Duration
}

// concurrencyRetry is the advice to a caller at its concurrency limit: about
// the length of one short answer.
const concurrencyRetry = time.Second

// Admit decides on one request of the caller and returns its next state.
// RatePerSecond and MaxInProgress of 0 mean no limit.
func (s CallerState) Admit(c *contract.Caller, now time.Time) (CallerState, Verdict) {
	if c.MaxInProgress > 0 && s.InProgress >= c.MaxInProgress {
		return s, Verdict{Reason: CallerConcurrency, RetryAfter: concurrencyRetry}
	}
	if c.RatePerSecond > 0 {
		next, wait := s.Bucket.Take(now, c.RatePerSecond, c.Burst)
		s.Bucket = next
		if wait > 0 {
			return s, Verdict{Reason: RateLimited, RetryAfter: wait}
		}
	}
	s.InProgress++
	return s, Verdict{}
}

// Idle reports whether the state equals that of a caller never seen.
func (s CallerState) Idle(now time.Time, rate float64) bool {
	return s.InProgress == 0 && s.Bucket.Full(now, rate)
}

// shardCount keeps the callers of one entry (3,800 at target size) from
// contending for one mutex. It is a power of two.
const shardCount = 64

// Callers holds the states of all callers with recent requests.
type Callers struct {
	seed   maphash.Seed
	shards [shardCount]shard
}

type shard struct {
	mu     sync.Mutex
	states map[string]entry
	_      [40]byte // keeps two shards off one cache line
}

type entry struct {
	state CallerState
	rate  float64 // of the last request, for the removal of idle states
}

// NewCallers returns an empty set.
func NewCallers() *Callers {
	c := &Callers{seed: maphash.MakeSeed()}
	for i := range c.shards {
		c.shards[i].states = make(map[string]entry)
	}
	return c
}

func (c *Callers) shard(id string) *shard {
	return &c.shards[maphash.String(c.seed, id)%shardCount]
}

// Admit decides on one request. An admitted one must be released.
func (c *Callers) Admit(caller *contract.Caller, now time.Time) Verdict {
	s := c.shard(caller.ID)
	s.mu.Lock()
	defer s.mu.Unlock()
	next, v := s.states[caller.ID].state.Admit(caller, now)
	s.states[caller.ID] = entry{state: next, rate: caller.RatePerSecond}
	return v
}

// Release ends one admitted request.
func (c *Callers) Release(callerID string) {
	s := c.shard(callerID)
	s.mu.Lock()
	defer s.mu.Unlock()
	e := s.states[callerID]
	e.state.InProgress--
	s.states[callerID] = e
}

// RemoveIdle forgets the callers whose state is that of a caller never seen,
// and returns the number of callers that remain.
func (c *Callers) RemoveIdle(now time.Time) int {
	remaining := 0
	for i := range c.shards {
		remaining += c.shards[i].removeIdle(now)
	}
	return remaining
}

func (s *shard) removeIdle(now time.Time) int {
	s.mu.Lock()
	defer s.mu.Unlock()
	for id, e := range s.states {
		if e.state.Idle(now, e.rate) {
			delete(s.states, id)
		}
	}
	return len(s.states)
}
