package fleet

import (
	"crypto/sha256"
	"fmt"
	"maps"
	"math"
)

// KeyHash is the SHA-256 of a caller's key. Keys themselves are not kept, so that no
// log, state of a peer or memory dump has them.
type KeyHash [sha256.Size]byte

// HashKey returns the hash of a key.
func HashKey(key string) KeyHash { return sha256.Sum256([]byte(key)) }

// Organisation is a group of callers that share their limits.
type Organisation struct {
	Name          string
	Keys          []KeyHash
	Priority      *int    // goes before the priority of the route; 0 is served first; nil for none
	RatePerSecond float64 // online requests a second over all gateways; 0 for no limit
	Burst         int     // requests that may come at once beyond the rate
}

// organisationIndex holds the organisations of a configuration. A nil list means that
// callers need no keys; an empty one lets nobody in but on public routes.
type organisationIndex struct {
	list  []Organisation
	byKey map[KeyHash]*Organisation // nil for a key that several organisations have
}

// indexOrganisations indexes organisations by key. A key that two organisations have lets
// in callers of neither. It returns what an operator has probably not meant.
func indexOrganisations(list []Organisation) (index organisationIndex, problems []string) {
	index = organisationIndex{list: list, byKey: make(map[KeyHash]*Organisation)}
	for i := range list {
		o := &list[i]
		if o.Name == "" {
			problems = append(problems, fmt.Sprintf("organisation %d has no name; its keys are not valid", i))
			continue
		}
		problems = append(problems, o.problems()...)
		for _, key := range o.Keys {
			holder, taken := index.byKey[key]
			switch {
			case !taken:
				index.byKey[key] = o
			case holder != o:
				index.byKey[key] = nil
				problems = append(problems, fmt.Sprintf("organisation %s has a key of another one; the key is not valid", o.Name))
			}
		}
	}
	return index, problems
}

// problems returns what an operator has probably not meant.
func (o *Organisation) problems() []string {
	var list []string
	add := func(text string) { list = append(list, fmt.Sprintf("organisation %s %s", o.Name, text)) }
	if len(o.Keys) == 0 {
		add("has no key")
	}
	if o.RatePerSecond < 0 || math.IsNaN(o.RatePerSecond) || math.IsInf(o.RatePerSecond, 0) {
		add("has an invalid rate, which sets no limit")
	}
	if o.RatePerSecond > 0 && o.Burst < 1 {
		add("has a burst below 1, which counts as 1")
	}
	if o.Priority != nil && *o.Priority < 0 {
		add("has a priority below 0")
	}
	return list
}

// Access says whether a caller may use a route.
type Access uint8

// Results of Configuration.Identify.
const (
	Denied    Access = iota // the key is missing or not valid
	Anonymous               // the route is public, or the configuration holds no organisations
	Identified
)

// Identify returns the organisation whose key a caller of a route presents. An empty key
// stands for none.
func (c *Configuration) Identify(route *Route, key string) (*Organisation, Access) {
	if !c.RequiresKeys() {
		return nil, Anonymous
	}
	if key != "" {
		if o := c.organisations.byKey[HashKey(key)]; o != nil {
			return o, Identified
		}
	}
	if route != nil && route.Public {
		return nil, Anonymous
	}
	return nil, Denied
}

// PublicBatchRoute returns a route on which jobs are accepted without a key, nil if there
// is none.
func (c *Configuration) PublicBatchRoute() *Route {
	for i := range c.Routes {
		if r := &c.Routes[i]; r.Public && r.Kind == Batch {
			return r
		}
	}
	return nil
}

// RequiresKeys reports whether callers need keys.
func (c *Configuration) RequiresKeys() bool { return c.organisations.list != nil }

// Organisations returns the organisations, nil if callers need no keys.
func (c *Configuration) Organisations() []Organisation { return c.organisations.list }

// KeyHolders returns the organisation of each key, nil for a key that is not valid
// because two organisations have it.
func (c *Configuration) KeyHolders() map[KeyHash]*Organisation {
	return maps.Clone(c.organisations.byKey)
}

// Problems returns what is probably wrong in the configuration, for the operator.
func (c *Configuration) Problems() []string { return c.problems }

// PriorityFor returns the priority of an organisation's requests on the route; o is nil
// for callers without one.
func (r *Route) PriorityFor(o *Organisation) int {
	if o != nil && o.Priority != nil {
		return *o.Priority
	}
	return r.Priority
}
