package order

import (
	"strings"

	"github.com/magnoliausher/magnoliausher/contract"
	"github.com/magnoliausher/magnoliausher/upstream"
)

// Target is the desired state of one engine. An empty model, version or role
// leaves the engine's current one; an empty adapter means no adapter.
type Target struct {
	Model       string
	Version     string
	Adapter     string
	Role        string
	EngineCount int // in the service, as configured for its groups
}

// Location identifies an engine by its agent, service and data centre.
type Location struct {
	AgentID    string
	Service    string
	DataCentre string
}

// TargetOf returns the target of an engine. It reports false if the
// configuration has no such engine service.
func TargetOf(ix *contract.Index, location Location) (Target, bool) {
	if ix == nil {
		return Target{}, false
	}
	service := ix.Service(location.Service)
	if service == nil || service.Kind != contract.KindEngine {
		return Target{}, false
	}
	return Target{
		Model:       service.Model,
		Version:     service.ModelVersion,
		Adapter:     service.Adapter,
		Role:        engineRole(ix.Document.Groups, location),
		EngineCount: engineCount(ix.Document.Groups, location.Service),
	}, true
}

// engineRole returns the role of the engine's group. Agents do not know the name
// of their group: it is the only group of the service in the data centre, or
// else the group with the longest name that, followed by a hyphen, is a prefix of
// the agent ID. The role is empty if neither exists.
func engineRole(groups []contract.UpstreamGroup, location Location) string {
	var inDataCentre, named []contract.UpstreamGroup
	for _, g := range groups {
		if g.Service != location.Service || g.DataCentre != location.DataCentre {
			continue
		}
		inDataCentre = append(inDataCentre, g)
		if strings.HasPrefix(location.AgentID, g.Name+"-") {
			named = append(named, g)
		}
	}
	switch {
	case len(inDataCentre) == 1:
		return inDataCentre[0].Role
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

func engineCount(groups []contract.UpstreamGroup, service string) int {
	engines := 0
	for _, g := range groups {
		if g.Service == service {
			engines += g.Count
		}
	}
	return engines
}

// PendingOrders returns the orders that bring an engine from the state to the
// target, in the sequence in which they must be sent: a model before its adapter,
// because loading a model unloads adapters, and the role last, so that an engine
// assumes a role only once its weights are loaded. The fencing numbers are not
// set.
func PendingOrders(target Target, state upstream.EngineState) []upstream.Order {
	var pending []upstream.Order
	adapter := state.Adapter
	if !modelMatches(target, state) {
		pending = append(pending, upstream.Order{
			Kind: upstream.OrderLoadModel, Model: target.Model, Version: target.Version,
		})
		adapter = ""
	}
	if adapter != target.Adapter {
		pending = append(pending, upstream.Order{
			Kind: upstream.OrderLoadAdapter, Model: target.Model, Version: target.Version, Adapter: target.Adapter,
		})
	}
	if target.Role != "" && state.Role != target.Role {
		pending = append(pending, upstream.Order{Kind: upstream.OrderSetRole, Role: target.Role})
	}
	return pending
}

func modelMatches(target Target, state upstream.EngineState) bool {
	if target.Model == "" {
		return true
	}
	return state.Model == target.Model && (target.Version == "" || state.Version == target.Version)
}

// LoadsWeights reports whether an order makes the engine read the weight store.
func LoadsWeights(o upstream.Order) bool { return o.Kind != upstream.OrderSetRole }

func anyLoadsWeights(orders []upstream.Order) bool {
	for _, o := range orders {
		if LoadsWeights(o) {
			return true
		}
	}
	return false
}

// IsComplete reports whether the engine's state shows that an order is complete.
func IsComplete(o upstream.Order, state upstream.EngineState) bool {
	switch o.Kind {
	case upstream.OrderLoadModel:
		return !state.Loading && state.Model == o.Model && (o.Version == "" || state.Version == o.Version)
	case upstream.OrderLoadAdapter:
		return state.Adapter == o.Adapter
	}
	return state.Role == o.Role
}
