// Package limit decides whether a request may start. It has a token bucket and a
// concurrency limit per caller, a concurrency limit with a fair queue per service,
// and a retry budget.
//
// Each shard of a CallerLimiter, each ServiceLimiter and each RetryBudget has its own
// mutex, and no function holds two of them. A request acquires the CallerLimiter
// before the ServiceLimiter and releases them in reverse order.
package limit

import (
	"hash/maphash"
	"math"
	"sync"
	"time"

	"github.com/magnoliausher/magnoliausher/contract"
)

// Reason says why a request was refused. It is empty when the request may start.
type Reason string

// Reasons for refusal, also used as label values of the refusal counter.
const (
	Allowed           Reason = ""
	RateLimited       Reason = "rate_limited"
	CallerConcurrency Reason = "caller_concurrency"
	QueueFull         Reason = "queue_full"
	QueueDeadline     Reason = "queue_deadline" // the deadline cannot be met from the queue
	Displaced         Reason = "queue_displaced"
	Cancelled         Reason = "cancelled" // the caller disconnected while the request was queued
)

// TokenBucket is a token bucket. The zero value is full.
type TokenBucket struct {
	spent     float64 // tokens missing from a full bucket at updatedAt
	updatedAt time.Time
}

// Refill returns the bucket with the tokens added up to now. rate is in tokens per second.
func (b TokenBucket) Refill(now time.Time, rate float64) TokenBucket {
	if b.spent == 0 {
		return TokenBucket{updatedAt: now}
	}
	elapsed := now.Sub(b.updatedAt)
	if elapsed <= 0 { // concurrent callers may pass times out of order
		return b
	}
	return TokenBucket{spent: max(0, b.spent-elapsed.Seconds()*rate), updatedAt: now}
}

// maxRetryAfter caps the wait that Take returns. At a tiny rate it would overflow.
const maxRetryAfter = time.Hour

// Take removes one token. If none is available, it returns the time until one is.
func (b TokenBucket) Take(now time.Time, rate float64, burst int) (next TokenBucket, wait time.Duration) {
	b = b.Refill(now, rate)
	size := float64(max(burst, 1))
	if b.spent+1 <= size {
		b.spent++
		return b, 0
	}
	missing := b.spent + 1 - size
	wait = time.Duration(math.Ceil(min(missing/rate, maxRetryAfter.Seconds()) * float64(time.Second)))
	return b, wait
}

// Full reports whether the bucket has all its tokens at now.
func (b TokenBucket) Full(now time.Time, rate float64) bool {
	return b.Refill(now, rate).spent == 0
}

// CallerState is one caller's current usage of its limits.
type CallerState struct {
	Bucket     TokenBucket
	InProgress int
}

// Decision is the outcome for one request. An empty Reason means that it may start.
type Decision struct {
	Reason     Reason
	RetryAfter time.Duration
}

// concurrencyRetryAfter is the Retry-After value at the concurrency limit, about the
// duration of a short answer.
const concurrencyRetryAfter = time.Second

// Admit decides on one request of the caller and returns the updated state.
// RatePerSecond and MaxInProgress of 0 mean no limit.
func (s CallerState) Admit(c *contract.Caller, now time.Time) (CallerState, Decision) {
	if c.MaxInProgress > 0 && s.InProgress >= c.MaxInProgress {
		return s, Decision{Reason: CallerConcurrency, RetryAfter: concurrencyRetryAfter}
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

// Idle reports whether the state is the same as that of a new caller.
func (s CallerState) Idle(now time.Time, rate float64) bool {
	return s.InProgress == 0 && s.Bucket.Full(now, rate)
}

// shardCount spreads the callers of one entry (3,800 at target size) over several
// mutexes to avoid contention. It is a power of two.
const shardCount = 64

// CallerLimiter applies the limits per caller. It keeps the state of every caller
// with recent requests. It is safe for concurrent use.
type CallerLimiter struct {
	seed   maphash.Seed
	shards [shardCount]shard
}

type shard struct {
	mu     sync.Mutex
	states map[string]callerEntry
	_      [40]byte // padding, so that no two shards share a cache line
}

type callerEntry struct {
	state CallerState
	rate  float64 // refill rate at the last request, for the removal of idle callers
}

// NewCallerLimiter returns a limiter without callers.
func NewCallerLimiter() *CallerLimiter {
	c := &CallerLimiter{seed: maphash.MakeSeed()}
	for i := range c.shards {
		c.shards[i].states = make(map[string]callerEntry)
	}
	return c
}

func (c *CallerLimiter) shard(id string) *shard {
	return &c.shards[maphash.String(c.seed, id)%shardCount]
}

// Admit decides on one request. Release must be called once for each request admitted.
func (c *CallerLimiter) Admit(caller *contract.Caller, now time.Time) Decision {
	s := c.shard(caller.ID)
	s.mu.Lock()
	defer s.mu.Unlock()
	next, v := s.states[caller.ID].state.Admit(caller, now)
	s.states[caller.ID] = callerEntry{state: next, rate: caller.RatePerSecond}
	return v
}

// Release ends an admitted request.
func (c *CallerLimiter) Release(callerID string) {
	s := c.shard(callerID)
	s.mu.Lock()
	defer s.mu.Unlock()
	e := s.states[callerID]
	e.state.InProgress--
	s.states[callerID] = e
}

// RemoveIdle removes the callers whose state is the same as that of a new caller, and
// returns the number of callers that remain.
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
