package platform

import (
	"cmp"
	"context"
	"slices"
	"time"

	"github.com/magnoliausher/magnoliausher/storage"
)

// instanceHistory holds the states of the instance list, the newest last.
// Readers get the newest state that is at least as old as the lag.
type instanceHistory struct {
	lag    time.Duration
	states []instanceState
}

type instanceState struct {
	revision  uint64
	since     time.Time
	instances []storage.Instance // sorted by id, not changed after it is stored
}

// SetInstance adds an instance to the list or replaces it.
func (p *Platform) SetInstance(instance storage.Instance) {
	p.changeList(func(list []storage.Instance) []storage.Instance {
		return append(without(list, instance.ID), instance)
	})
}

// RemoveInstance removes an instance from the list.
func (p *Platform) RemoveInstance(id string) {
	p.changeList(func(list []storage.Instance) []storage.Instance {
		return without(list, id)
	})
}

// SetInstances replaces the whole list.
func (p *Platform) SetInstances(instances []storage.Instance) {
	p.changeList(func([]storage.Instance) []storage.Instance {
		return slices.Clone(instances)
	})
}

// SetInstanceLag sets the age of the list that readers get.
func (p *Platform) SetInstanceLag(lag time.Duration) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.list.lag = lag
}

// Instances returns the lagging list and its revision.
func (p *Platform) Instances(ctx context.Context, since uint64) ([]storage.Instance, uint64, error) {
	var state instanceState
	err := p.read(ctx, countListRead, func() error {
		state = p.list.visible(p.clock.Now())
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

func (p *Platform) changeList(edit func([]storage.Instance) []storage.Instance) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.list.change(p.clock.Now(), edit)
}

func (h *instanceHistory) change(now time.Time, edit func([]storage.Instance) []storage.Instance) {
	var last instanceState
	if n := len(h.states); n > 0 {
		last = h.states[n-1]
	}
	list := edit(slices.Clone(last.instances))
	slices.SortFunc(list, func(a, b storage.Instance) int { return cmp.Compare(a.ID, b.ID) })
	h.states = append(h.states, instanceState{revision: last.revision + 1, since: now, instances: list})
}

// visible returns the state that readers get now and drops older ones, so the
// revision that readers see never falls.
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

func without(list []storage.Instance, id string) []storage.Instance {
	return slices.DeleteFunc(list, func(i storage.Instance) bool { return i.ID == id })
}
