package attempt

import (
	"errors"
	"sync"
	"time"
)

// Errors of CheckTicket and SeenSet.Add.
var (
	ErrWrongIncarnation = errors.New("ticket was issued for another incarnation of the agent")
	ErrTicketExpired    = errors.New("ticket has expired")
	ErrAlreadySeen      = errors.New("attempt has already been received")
	ErrSeenSetFull      = errors.New("set of received attempts is full")
)

// CheckTicket returns nil when an agent with the given incarnation may send the
// ticket's attempt to its upstream at now, the agent's monotonic time since its start.
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
	// Each Add inserts one id and removes at most this many expired ones, so the
	// set shrinks under load while the cost of a call stays bounded.
	seenDropsPerAdd = 4
)

// SeenSet stores the ids of attempts until their tickets expire. When it is full it
// refuses new ids instead of evicting one, because an attempt whose id is evicted
// could run twice. It is safe for concurrent use.
type SeenSet struct {
	mu       sync.Mutex
	capacity int
	expiry   map[ID]time.Duration
	wheel    [seenWheelSlots][]ID // timing wheel of ids by expiry; an id that expires beyond its range is reinserted when reached
	cursor   int64                // number of the oldest slot that may still hold ids
}

// NewSeenSet returns an empty set that holds at most capacity ids.
func NewSeenSet(capacity int) *SeenSet {
	return &SeenSet{capacity: capacity, expiry: make(map[ID]time.Duration)}
}

// Add stores the id until expiry. It returns ErrAlreadySeen for an id in the set
// and ErrSeenSetFull when the set is at its capacity.
func (s *SeenSet) Add(id ID, expiry, now time.Duration) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.dropExpired(now)
	if _, ok := s.expiry[id]; ok {
		return ErrAlreadySeen
	}
	if len(s.expiry) >= s.capacity {
		return ErrSeenSetFull
	}
	s.expiry[id] = expiry
	s.insert(id, expiry)
	return nil
}

// Len returns the number of stored ids, including expired ones not yet removed.
func (s *SeenSet) Len() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return len(s.expiry)
}

func (s *SeenSet) insert(id ID, expiry time.Duration) {
	n := int64(expiry / seenSlotWidth)
	n = max(s.cursor, min(n, s.cursor+seenWheelSlots-1))
	slot := &s.wheel[n%seenWheelSlots]
	*slot = append(*slot, id)
}

// dropExpired removes up to seenDropsPerAdd ids from slots that lie fully in the past.
func (s *SeenSet) dropExpired(now time.Duration) {
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
			s.insert(id, expiry) // expired beyond the range of the wheel
			continue
		}
		delete(s.expiry, id)
	}
}
