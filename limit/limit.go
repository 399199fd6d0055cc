// Package limit decides whether a request may start: token bucket and
// concurrency per caller, concurrency with a fair queue per service, and a
// budget for retries.
//
// Locks: a shard of CallerLimiter, a ServiceLimiter and a RetryBudget have one mutex each, and
// no function holds two of them. A request passes CallerLimiter first and the ServiceLimiter
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

// TokenBucket is a token bucket. The zero value is full.
type TokenBucket struct {
	spent   float64 // tokens missing from a full bucket at updated
	updated time.Time
}

// Refill returns the bucket at now. rate is in tokens per second.
func (b TokenBucket) Refill(now time.Time, rate float64) TokenBucket {
	if b.spent == 0 {
		return TokenBucket{updated: now}
	}
	elapsed := now.Sub(b.updated)
	if elapsed <= 0 { // snapshots of the time may be out of order
		return b
	}
	return TokenBucket{spent: max(0, b.spent-elapsed.Seconds()*rate), updated: now}
}

// maxWait bounds the advice of Take, which a tiny rate would make overflow.
const maxWait = time.Hour

// Take removes one token. When there is none it returns the time until there is.
func (b TokenBucket) Take(now time.Time, rate float64, burst int) (next TokenBucket, wait time.Duration) {
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
func (b TokenBucket) Full(now time.Time, rate float64) bool {
	return b.Refill(now, rate).spent == 0
}

// CallerState is the use that one caller makes of its limits.
type CallerState struct {
	Bucket     TokenBucket
	InProgress int
}

// Decision is the decision on one request.
type Decision struct {
	Reason     Reason
	RetryAfter time.Duration
}

// concurrencyRetry is the advice to a caller at its concurrency limit: about
// the length of one short answer.
const concurrencyRetry = time.Second

// Admit decides on one request of the caller and returns its next state.
// RatePerSecond and MaxInProgress of 0 mean no limit.
func (s CallerState) Admit(c *contract.Caller, now time.Time) (CallerState, Decision) {
	if c.MaxInProgress > 0 && s.InProgress >= c.MaxInProgress {
		return s, Decision{Reason: CallerConcurrency, RetryAfter: concurrencyRetry}
	}
	if c.RatePerSecond > 0 {
		next, wait := s.Bucket.Take(now, c.RatePerSecond, c.Burst)
		s.Bucket = next
		if wait > 0 {
			return s, Decision{Reason: RateLimited, RetryAfter: wait}
		}
	}
	s.InProgress++
	return s, Decision{}
}

// Idle reports whether the state equals that of a caller never seen.
func (s CallerState) Idle(now time.Time, rate float64) bool {
	return s.InProgress == 0 && s.Bucket.Full(now, rate)
}

// shardCount keeps the callers of one entry (3,800 at target size) from
// contending for one mutex. It is a power of two.
const shardCount = 64

// CallerLimiter holds the states of all callers with recent requests.
type CallerLimiter struct {
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

// NewCallerLimiter returns an empty set.
func NewCallerLimiter() *CallerLimiter {
	c := &CallerLimiter{seed: maphash.MakeSeed()}
	for i := range c.shards {
		c.shards[i].states = make(map[string]entry)
	}
	return c
}

func (c *CallerLimiter) shard(id string) *shard {
	return &c.shards[maphash.String(c.seed, id)%shardCount]
}

// Admit decides on one request. An admitted one must be released.
func (c *CallerLimiter) Admit(caller *contract.Caller, now time.Time) Decision {
	s := c.shard(caller.ID)
	s.mu.Lock()
	defer s.mu.Unlock()
	next, v := s.states[caller.ID].state.Admit(caller, now)
	s.states[caller.ID] = entry{state: next, rate: caller.RatePerSecond}
	return v
}

// Release ends one admitted request.
func (c *CallerLimiter) Release(callerID string) {
	s := c.shard(callerID)
	s.mu.Lock()
	defer s.mu.Unlock()
	e := s.states[callerID]
	e.state.InProgress--
	s.states[callerID] = e
}

// RemoveIdle forgets the callers whose state is that of a caller never seen,
// and returns the number of callers that remain.
func (c *CallerLimiter) RemoveIdle(now time.Time) int {
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
