package platform

import (
	"cmp"
	"context"
	"slices"
	"time"

	"github.com/magnoliausher/magnoliausher/storage"
)

// instanceHistory holds successive states of the instance list, newest last.
// Readers see the newest state that is at least as old as the lag.
type instanceHistory struct {
	lag    time.Duration
	states []instanceState
}

type instanceState struct {
	revision  uint64
	since     time.Time
	instances []storage.Instance // sorted by ID; immutable once stored
}

// SetInstance adds or replaces an instance in the list.
func (p *Platform) SetInstance(instance storage.Instance) {
	p.updateInstances(func(list []storage.Instance) []storage.Instance {
		return append(withoutInstance(list, instance.ID), instance)
	})
}

// RemoveInstance removes an instance from the list.
func (p *Platform) RemoveInstance(id string) {
	p.updateInstances(func(list []storage.Instance) []storage.Instance {
		return withoutInstance(list, id)
	})
}

// SetInstances replaces the whole list.
func (p *Platform) SetInstances(instances []storage.Instance) {
	p.updateInstances(func([]storage.Instance) []storage.Instance {
		return slices.Clone(instances)
	})
}

// SetInstanceLag sets the lag of the list that readers see.
func (p *Platform) SetInstanceLag(lag time.Duration) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.instances.lag = lag
}

// Instances returns the list that readers see and its revision. The list is nil if
// its revision is since.
func (p *Platform) Instances(ctx context.Context, since uint64) ([]storage.Instance, uint64, error) {
	var state instanceState
	err := p.read(ctx, countListRead, func() error {
		state = p.instances.visible(p.clock.Now())
		return nil
	})
	if err != nil {
		return nil, 0, err
	}
	if state.revision == since {
		return nil, state.revision, nil
	}
	return append([]storage.Instance{}, state.instances...), state.revision, nil
}

func (p *Platform) updateInstances(edit func([]storage.Instance) []storage.Instance) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.instances.update(p.clock.Now(), edit)
}

func (h *instanceHistory) update(now time.Time, edit func([]storage.Instance) []storage.Instance) {
	var last instanceState
	if n := len(h.states); n > 0 {
		last = h.states[n-1]
	}
	list := edit(slices.Clone(last.instances))
	slices.SortFunc(list, func(a, b storage.Instance) int { return cmp.Compare(a.ID, b.ID) })
	h.states = append(h.states, instanceState{revision: last.revision + 1, since: now, instances: list})
}

// visible returns the state that readers currently see and discards older
// states, so that the revision that readers see never decreases.
func (h *instanceHistory) visible(now time.Time) instanceState {
	newest := -1
	for i, state := range h.states {
		if now.Sub(state.since) < h.lag {
			break
		}
		newest = i
	}
	if newest < 0 {
		return instanceState{}
	}
	h.states = h.states[newest:]
	return h.states[0]
}

func withoutInstance(list []storage.Instance, id string) []storage.Instance {
	return slices.DeleteFunc(list, func(i storage.Instance) bool { return i.ID == id })
}
