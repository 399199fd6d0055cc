package attempt

import (
	"errors"
	"sync"
	"time"
)

// Errors of tickets and of repeated attempts.
var (
	ErrWrongIncarnation = errors.New("ticket is for another incarnation of the agent")
	ErrTicketExpired    = errors.New("ticket has expired")
	ErrAlreadySeen      = errors.New("attempt was seen before")
	ErrSeenSetFull      = errors.New("set of seen attempts is full")
)

// CheckTicket returns nil when an agent with that incarnation may hand the ticket's
// attempt to its upstream at now, its monotonic time since its start.
func CheckTicket(t Ticket, incarnation uint64, now time.Duration) error {
	if t.AgentIncarnation != incarnation {
		return ErrWrongIncarnation
	}
	if now > t.NotAfter {
		return ErrTicketExpired
	}
	return nil
}

const (
	seenWheelSlots = 64
	seenSlotWidth  = time.Second
	// Each Add inserts one id and drops up to this many expired ones, so the
	// set shrinks under load and no call takes longer than a constant time.
	seenDropsPerAdd = 4
)

// SeenSet remembers the ids of attempts until their tickets expire. It refuses
// ids beyond its capacity and never forgets one early, because a forgotten id
// could run twice. Safe for concurrent use.
type SeenSet struct {
	mu       sync.Mutex
	capacity int
	expiry   map[ID]time.Duration
	wheel    [seenWheelSlots][]ID // by expiry; expiries beyond the wheel are moved on when reached
	cursor   int64                // number of the oldest slot with ids left
}

// NewSeenSet returns an empty set for at most capacity ids.
func NewSeenSet(capacity int) *SeenSet {
	return &SeenSet{capacity: capacity, expiry: make(map[ID]time.Duration)}
}

// Add remembers the id until expiry. It returns ErrAlreadySeen for a known id and
// ErrSeenSetFull when the set has no room.
func (s *SeenSet) Add(id ID, expiry, now time.Duration) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.drop(now)
	if _, ok := s.expiry[id]; ok {
		return ErrAlreadySeen
	}
	if len(s.expiry) >= s.capacity {
		return ErrSeenSetFull
	}
	s.expiry[id] = expiry
	s.place(id, expiry)
	return nil
}

// Len is the number of remembered ids, including expired ones not yet dropped.
func (s *SeenSet) Len() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return len(s.expiry)
}

func (s *SeenSet) place(id ID, expiry time.Duration) {
	n := int64(expiry / seenSlotWidth)
	n = max(s.cursor, min(n, s.cursor+seenWheelSlots-1))
	slot := &s.wheel[n%seenWheelSlots]
	*slot = append(*slot, id)
}

// drop removes a few ids of slots that have passed entirely.
func (s *SeenSet) drop(now time.Duration) {
	current := int64(now / seenSlotWidth)
	if len(s.expiry) == 0 {
		s.cursor = max(s.cursor, current)
		return
	}
	for drops := 0; drops < seenDropsPerAdd && s.cursor < current && len(s.expiry) > 0; {
		slot := &s.wheel[s.cursor%seenWheelSlots]
		if len(*slot) == 0 {
			*slot = nil
			s.cursor++
			continue
		}
		id := (*slot)[len(*slot)-1]
		*slot = (*slot)[:len(*slot)-1]
		drops++
		if expiry := s.expiry[id]; int64(expiry/seenSlotWidth) > s.cursor {
			s.place(id, expiry) // was beyond the wheel
			continue
		}
		delete(s.expiry, id)
	}
}
