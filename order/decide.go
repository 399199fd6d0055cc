package order

import (
	"strings"

	"github.com/magnoliausher/magnoliausher/contract"
	"github.com/magnoliausher/magnoliausher/upstream"
)

// Target is what the configuration asks of one engine. An empty model, version
// or role leaves the engine's own; an empty adapter asks for none.
type Target struct {
	Model   string
	Version string
	Adapter string
	Role    string
	Engines int // of the service, as the planners expect
}

// Place says where an engine is.
type Place struct {
	AgentID    string
	Service    string
	DataCentre string
}

// TargetOf returns the target of an engine, or false when the configuration has
// no such engine service.
func TargetOf(ix *contract.Index, place Place) (Target, bool) {
	if ix == nil {
		return Target{}, false
	}
	service := ix.Service(place.Service)
	if service == nil || service.Kind != contract.KindEngine {
		return Target{}, false
	}
	return Target{
		Model:   service.Model,
		Version: service.ModelVersion,
		Adapter: service.Adapter,
		Role:    roleOf(ix.Document.Groups, place),
		Engines: enginesOf(ix.Document.Groups, place.Service),
	}, true
}

// roleOf returns the role of the engine's group. Agents do not know the name of
// their group: it is the only one of the service in the data centre, or else the
// one whose name and a hyphen begin the agent's id. Without either it is empty.
func roleOf(groups []contract.UpstreamGroup, place Place) string {
	var inCentre, named []contract.UpstreamGroup
	for _, g := range groups {
		if g.Service != place.Service || g.DataCentre != place.DataCentre {
			continue
		}
		inCentre = append(inCentre, g)
		if strings.HasPrefix(place.AgentID, g.Name+"-") {
			named = append(named, g)
		}
	}
	switch {
	case len(inCentre) == 1:
		return inCentre[0].Role
	case len(named) == 0:
		return ""
	}
	longest := named[0]
	for _, g := range named[1:] {
		if len(g.Name) > len(longest.Name) {
			longest = g
		}
	}
	return longest.Role
}

func enginesOf(groups []contract.UpstreamGroup, service string) int {
	engines := 0
	for _, g := range groups {
		if g.Service == service {
			engines += g.Count
		}
	}
	return engines
}

// Due returns the orders that lead from the state to the target, in the order in
// which they must be sent: a model before its adapter, because loading a model
// unloads adapters, and the role last, so that an engine takes up a role only
// with its weights. The fencing numbers are not set.
func Due(target Target, state upstream.EngineState) []upstream.Order {
	var due []upstream.Order
	adapter := state.Adapter
	if !modelFits(target, state) {
		due = append(due, upstream.Order{
			Kind: upstream.OrderLoadModel, Model: target.Model, Version: target.Version,
		})
		adapter = ""
	}
	if adapter != target.Adapter {
		due = append(due, upstream.Order{
			Kind: upstream.OrderLoadAdapter, Model: target.Model, Version: target.Version, Adapter: target.Adapter,
		})
	}
	if target.Role != "" && state.Role != target.Role {
		due = append(due, upstream.Order{Kind: upstream.OrderSetRole, Role: target.Role})
	}
	return due
}

func modelFits(target Target, state upstream.EngineState) bool {
	if target.Model == "" {
		return true
	}
	return state.Model == target.Model && (target.Version == "" || state.Version == target.Version)
}

// LoadsWeights reports whether an order reads the weight store.
func LoadsWeights(o upstream.Order) bool { return o.Kind != upstream.OrderSetRole }

func anyLoadsWeights(orders []upstream.Order) bool {
	for _, o := range orders {
		if LoadsWeights(o) {
			return true
		}
	}
	return false
}

// Reflects reports whether the engine's state shows that an order is complete.
func Reflects(o upstream.Order, state upstream.EngineState) bool {
	switch o.Kind {
	case upstream.OrderLoadModel:
		return !state.Loading && state.Model == o.Model && (o.Version == "" || state.Version == o.Version)
	case upstream.OrderLoadAdapter:
		return state.Adapter == o.Adapter
	}
	return state.Role == o.Role
}
