package attempt

import (
	"errors"
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/leanovate/gopter"
	"github.com/leanovate/gopter/gen"
	"github.com/leanovate/gopter/prop"
)

// Guards against accepting an expired ticket or one of another agent incarnation.
func TestCheck(t *testing.T) {
	ticket := Ticket{AgentIncarnation: 7, NotAfter: time.Second}
	if err := CheckTicket(ticket, 7, time.Second); err != nil {
		t.Errorf("valid ticket: %v", err)
	}
	if err := CheckTicket(ticket, 8, 0); !errors.Is(err, ErrWrongIncarnation) {
		t.Errorf("ticket of another incarnation: %v", err)
	}
	if err := CheckTicket(ticket, 7, time.Second+1); !errors.Is(err, ErrTicketExpired) {
		t.Errorf("expired ticket: %v", err)
	}
}

// Guards against removing an id before its ticket expires, and against keeping
// expired ids so long that the set fills up although its capacity suffices.
func TestSeenSetKeepsIDsUntilExpiry(t *testing.T) {
	properties := gopter.NewProperties(nil)
	properties.Property("agrees with a plain map", prop.ForAll(
		func(seed uint64) (bool, error) {
			r := rand.New(rand.NewPCG(seed, 2))
			const capacity = 400
			s := NewSeenSet(capacity)
			expiry := map[ID]time.Duration{}
			now := time.Duration(0)
			for i := range 3000 {
				now += time.Duration(r.IntN(100)) * time.Millisecond
				if r.IntN(500) == 0 {
					now += time.Duration(r.IntN(300)) * time.Second
				}
				id := ID(fmt.Sprint(r.IntN(i + 1)))
				until := now + time.Duration(r.IntN(10))*time.Second
				if r.IntN(100) == 0 {
					until += 200 * time.Second // beyond the range of the wheel
				}
				err := s.Add(id, until, now)
				if e, known := expiry[id]; known && e >= now && !errors.Is(err, ErrAlreadySeen) {
					return false, fmt.Errorf("id %s of %v accepted again at %v: %v", id, e, now, err)
				}
				if errors.Is(err, ErrSeenSetFull) {
					return false, fmt.Errorf("set is full with %d ids", s.Len())
				}
				if err == nil {
					expiry[id] = until
				}
			}
			return true, nil
		},
		gen.UInt64(),
	))
	properties.TestingRun(t)
}

// Guards against unbounded memory, and against evicting an unexpired id.
func TestSeenSetIsBounded(t *testing.T) {
	s := NewSeenSet(2)
	for _, id := range []ID{"a", "b"} {
		if err := s.Add(id, time.Second, 0); err != nil {
			t.Fatal(err)
		}
	}
	if err := s.Add("c", time.Second, 0); !errors.Is(err, ErrSeenSetFull) {
		t.Errorf("third id: %v", err)
	}
	if err := s.Add("c", 9*time.Second, 3*time.Second); err != nil {
		t.Errorf("after expiry: %v", err)
	}
}

func BenchmarkSeenSetAdd(b *testing.B) {
	s := NewSeenSet(1 << 20)
	now := time.Duration(0)
	for b.Loop() {
		now += time.Millisecond
		if err := s.Add(NewID(), now+10*time.Second, now); err != nil {
			b.Fatal(err)
		}
	}
}
