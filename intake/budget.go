// Package intake bounds the memory and the connections that clients of a process take.
// A limit of each body alone does not: many clients may send bodies of legal size at once
// and leave them unfinished.
package intake

import (
	"errors"
	"io"
	"net/http"
	"strings"
	"sync"
	"time"

	"github.com/magnoliausher/magnoliausher/metric"
)

// Errors of reading a body. After each of them the connection must be closed.
var (
	ErrTooLarge  = errors.New("the body exceeds the limit")
	ErrExhausted = errors.New("no memory left for request bodies")
	ErrDropped   = errors.New("the body arrived too slowly while memory was needed")
)

const (
	// freeBytes is what each body may take without a share. Bodies of usual requests
	// (1.5 KB) fit in; connectionBytes includes it.
	freeBytes = 4 << 10
	// smallPercent and largePercent are the parts of a process's memory for bodies of up
	// to smallBytes and for larger ones.
	smallPercent = 5
	largePercent = 22
	// roomTimeout is how long a body waits for the memory of bodies that were dropped.
	roomTimeout = time.Second
	// pressureInterval is the least time between two calls of the function given to
	// OnPressure.
	pressureInterval = 5 * time.Second
	// cleanupDelay is how long after the function given to OnPressure its effect is awaited:
	// the runtime runs cleanups in a goroutine of its own after a collection.
	cleanupDelay = 100 * time.Millisecond
)

// Budget is the memory for request bodies of a process. A nil Budget has no limit.
type Budget struct {
	mu         sync.Mutex
	ledger     *ledger
	released   chan struct{} // closed when memory was given back; nil if nobody waits
	onPressure func()
	pressed    time.Time // last call of onPressure
	pressing   bool      // a call of onPressure is in progress, or its effect is awaited
}

// MaxBody returns the most memory that one body can take, with its copies, of a process
// that may use memoryMB; 0 for no limit.
func MaxBody(memoryMB int) int64 { return int64(memoryMB) << 20 * largePercent / 100 }

// NewBudget returns the budget of a process that may use memoryMB, or nil for 0.
func NewBudget(memoryMB int) *Budget {
	if memoryMB == 0 {
		return nil
	}
	bytes := int64(memoryMB) << 20
	return &Budget{ledger: newLedger(bytes*smallPercent/100, MaxBody(memoryMB))}
}

// OnPressure sets a function that frees memory that was charged and that nothing needs.
// It is called in its own goroutine when the budget is used up. It must be set before the budget is used.
func (b *Budget) OnPressure(free func()) {
	if b != nil {
		b.onPressure = free
	}
}

// Share is the memory that one body holds. Its methods must not be called concurrently
// except Release. A nil Share holds nothing.
type Share struct {
	budget *Budget
	body   body
}

// Resize sets the bytes that the share holds, with all copies of the body.
func (s *Share) Resize(bytes int64) error {
	if s == nil {
		return nil
	}
	b := s.budget
	var expired <-chan time.Time
	for {
		b.mu.Lock()
		small, large := b.ledger.small.held, b.ledger.large.held
		v, dropped := b.ledger.resize(&s.body, bytes, time.Now())
		for _, other := range dropped {
			other.interrupt()
			metric.BodyDropped()
		}
		isDropped, room := s.body.dropped, b.released
		if v != granted && !isDropped {
			v = b.applyPressure(v)
			if b.released == nil {
				b.released = make(chan struct{})
			}
			room = b.released
		}
		if v == granted {
			if expired != nil {
				s.body.resume(time.Now())
			}
			if b.ledger.small.held < small || b.ledger.large.held < large {
				b.notify()
			}
		}
		b.mu.Unlock()
		switch {
		case v == granted:
			return nil
		case isDropped:
			return ErrDropped
		case v == refused:
			return ErrExhausted
		}
		if expired == nil {
			timer := time.NewTimer(roomTimeout)
			defer timer.Stop()
			expired = timer.C
		}
		select {
		case <-room:
		case <-expired:
			return ErrExhausted
		}
	}
}

// applyPressure starts the function that frees memory, unless it runs already. A body may
// wait for its effect. The caller holds b.mu.
func (b *Budget) applyPressure(v verdict) verdict {
	if b.onPressure == nil || !b.ledger.chargedMatters() {
		return v
	}
	if b.pressing {
		return waits
	}
	if now := time.Now(); now.Sub(b.pressed) >= pressureInterval {
		b.pressed, b.pressing = now, true
		go b.press()
		return waits
	}
	return v
}

// press calls the function that frees memory and wakes the bodies that wait for its effect.
func (b *Budget) press() {
	b.onPressure()
	time.Sleep(cleanupDelay)
	b.mu.Lock()
	defer b.mu.Unlock()
	b.pressing = false
	b.notify()
}

// notify wakes those that wait for memory. The caller holds b.mu.
func (b *Budget) notify() {
	if b.released != nil {
		close(b.released)
		b.released = nil
	}
}

// Release gives the share back. Further calls have no effect.
func (s *Share) Release() {
	if s == nil {
		return
	}
	s.budget.mu.Lock()
	defer s.budget.mu.Unlock()
	if s.body.held > 0 {
		s.budget.ledger.release(&s.body)
		s.budget.notify()
	}
}

// Charge returns a share of bytes that are in use already.
func (b *Budget) Charge(bytes int64) *Share {
	if b == nil {
		return nil
	}
	s := &Share{budget: b}
	b.mu.Lock()
	defer b.mu.Unlock()
	b.ledger.charge(&s.body, bytes)
	return s
}

// Read reads the body of a request of up to limit bytes. The share covers the body and
// must be released when the body is no longer used. After an error, which is one of this
// package's or of the connection, the caller must answer with Close.
func (b *Budget) Read(w http.ResponseWriter, r *http.Request, limit int64) ([]byte, *Share, error) {
	if r.ContentLength > limit {
		return nil, nil, ErrTooLarge
	}
	if r.ContentLength == 0 || r.Body == nil {
		return nil, nil, nil
	}
	conn := connOf(r)
	if !conn.beginBody() {
		return nil, nil, ErrDropped
	}
	reader := bodyReader{budget: b, writer: w, request: r, limit: limit}
	data, err := reader.read()
	if err == nil && !conn.endBody() {
		err = ErrDropped
	}
	if err == nil && reader.share != nil {
		b.mu.Lock()
		if !b.ledger.complete(&reader.share.body) {
			err = ErrDropped
		}
		b.mu.Unlock()
	}
	if err != nil {
		reader.share.Release()
		return nil, nil, err
	}
	return data, reader.share, nil
}

type bodyReader struct {
	budget  *Budget
	writer  http.ResponseWriter
	request *http.Request
	limit   int64
	share   *Share
	data    []byte
}

func (r *bodyReader) read() ([]byte, error) {
	for {
		if len(r.data) == cap(r.data) {
			if err := r.grow(); err != nil {
				return nil, err
			}
		}
		n, err := r.request.Body.Read(r.data[len(r.data):cap(r.data)])
		r.data = r.data[:len(r.data)+n]
		if r.share != nil {
			r.recordProgress(n)
		}
		if int64(len(r.data)) > r.limit {
			return nil, ErrTooLarge
		}
		if err == io.EOF {
			return r.data, nil
		}
		if err != nil {
			if r.isDropped() {
				err = ErrDropped
			}
			return nil, err
		}
	}
}

func (r *bodyReader) recordProgress(n int) {
	r.budget.mu.Lock()
	defer r.budget.mu.Unlock()
	r.share.body.progress(n, time.Now())
}

func (r *bodyReader) isDropped() bool {
	if r.share == nil {
		return connOf(r.request).isDropped()
	}
	r.budget.mu.Lock()
	defer r.budget.mu.Unlock()
	return r.share.body.dropped || connOf(r.request).isDropped()
}

// grow makes room for more of the body. Both the old and the new buffer count while one
// is copied to the other.
func (r *bodyReader) grow() error {
	old, size := cap(r.data), nextSize(cap(r.data), r.request.ContentLength, r.limit)
	if r.budget != nil && size > freeBytes {
		if r.share == nil {
			now := time.Now()
			r.share = &Share{budget: r.budget, body: body{reading: true, began: now, last: now, mark: now, interrupt: r.interrupt}}
		}
		r.share.body.extra = int64(old + 1)
		if err := r.share.Resize(int64(old + size)); err != nil {
			return err
		}
	}
	data := make([]byte, len(r.data), size)
	copy(data, r.data)
	r.data = data
	if r.share != nil && old > 0 {
		r.share.body.extra = 1
		return r.share.Resize(int64(size))
	}
	return nil
}

// interrupt makes a blocked read of the body return.
func (r *bodyReader) interrupt() { interruptRead(r.writer) }

func interruptRead(w http.ResponseWriter) {
	// An error means that the connection is gone, or that of a test, which does not block.
	_ = http.NewResponseController(w).SetReadDeadline(time.Unix(1, 0))
}

const (
	firstBufferBytes = 2 << 10
	// A body is given its full length at once when a quarter of it has arrived.
	wholeAt = 4
)

// nextSize returns the size of the buffer after one of size old. It has room for one byte
// more than the body, in which a read finds the end or a body that is too long. A length
// below 0 is unknown.
func nextSize(old int, length, limit int64) int {
	most := int(limit) + 1
	if length >= 0 {
		most = int(length) + 1
	}
	if length >= 0 && (most <= freeBytes || old*wholeAt >= most) {
		return most
	}
	switch {
	case old == 0:
		return min(firstBufferBytes, most)
	case old < smallBytes:
		return min(2*old, most)
	}
	return min(old+old/2, most)
}

// Close makes the server close the connection after the answer that follows, without
// reading the rest of the request. It must be called before the answer is written.
func Close(w http.ResponseWriter, r *http.Request) {
	connOf(r).beginClosing()
	w.Header().Set("Connection", "close")
	// A MaxBytesReader that is exceeded makes the server wait before it closes the
	// connection, so that a reset does not overtake the answer to a client that still sends.
	_, _ = http.MaxBytesReader(w, io.NopCloser(strings.NewReader("x")), 0).Read(make([]byte, 1))
	interruptRead(w)
}
