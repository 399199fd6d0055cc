// Package fleet holds what a gateway knows of its deployment: the operator's
// configuration and the upstreams that serve it. All values are immutable once
// published; Holder replaces them and never goes back to an older version.
package fleet

import (
	"sort"
	"strings"
	"time"

	"github.com/cespare/xxhash/v2"
)

// Kind says what may be repeated on a route.
type Kind uint8

// Kinds of route.
const (
	AtMostOnce Kind = iota // runs at most once for each request id
	Repeatable             // may run more than once
	Stream                 // a sequence of events; repeatable from an event if Resumable
	Batch                  // whole jobs, run later
)

// Target is one service that a route sends to, with its share of the traffic.
type Target struct {
	Service string
	Weight  int
}

// Route is one entry of the configuration.
type Route struct {
	Name         string
	Host         string
	Prefix       string // of the path; begins and ends with a slash
	Kind         Kind
	Resumable    bool // a stream may go on at another upstream after an event
	Targets      []Target
	Timeout      time.Duration // longest time that a request is kept; 0 for none
	Objective    time.Duration // latency objective of the answer, the first event or the acceptance
	GapObjective time.Duration // longest pause between events that is still on time
	Priority     int           // 0 is served first
	MaxAttempts  int           // upstreams that one request may run on

	CompletionObjective time.Duration // batch: from the first submission to all results
	Retention           time.Duration // batch: after this an item may be given up
	TokenQuota          int64         // batch: tokens that may wait on the route; 0 for no limit
}

// ServiceFor chooses the target for a request id. The same id always gets the same one.
func (r *Route) ServiceFor(id string) string {
	if len(r.Targets) == 1 {
		return r.Targets[0].Service
	}
	total := 0
	for _, t := range r.Targets {
		total += max(t.Weight, 0)
	}
	if total == 0 {
		return ""
	}
	point := int(xxhash.Sum64String(id) % uint64(total))
	for _, t := range r.Targets {
		point -= max(t.Weight, 0)
		if point < 0 {
			return t.Service
		}
	}
	return ""
}

// Repeatable reports whether a request of the route may be sent again from its
// start after it may have run.
func (r *Route) Repeatable() bool {
	return r.Kind == Repeatable || r.Kind == Batch || r.Kind == Stream && r.Resumable
}

// Limits bound what a caller may send.
type Limits struct {
	MaxBodyBytes int64
}

// Configuration is one version of the operator's document.
type Configuration struct {
	Version uint64
	Routes  []Route
	Limits  Limits

	byHost map[string][]*Route // longest prefix first
}

// NewConfiguration indexes the routes.
func NewConfiguration(version uint64, routes []Route, limits Limits) *Configuration {
	c := &Configuration{Version: version, Routes: routes, Limits: limits, byHost: make(map[string][]*Route)}
	for i := range c.Routes {
		r := &c.Routes[i]
		c.byHost[r.Host] = append(c.byHost[r.Host], r)
	}
	for _, list := range c.byHost {
		sort.SliceStable(list, func(i, j int) bool { return len(list[i].Prefix) > len(list[j].Prefix) })
	}
	return c
}

// Match returns the route with the longest prefix of the path, or nil.
func (c *Configuration) Match(host, path string) *Route {
	for _, r := range c.byHost[host] {
		if strings.HasPrefix(path, r.Prefix) {
			return r
		}
	}
	return nil
}

// RouteByName returns the route of a name, or nil.
func (c *Configuration) RouteByName(name string) *Route {
	for i := range c.Routes {
		if c.Routes[i].Name == name {
			return &c.Routes[i]
		}
	}
	return nil
}
