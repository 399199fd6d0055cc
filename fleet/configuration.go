// Package fleet holds a gateway's view of its deployment: the operator's
// configuration and the registered upstreams. Published values are immutable;
// Holder replaces them and never reverts to an older version.
package fleet

import (
	"slices"
	"sort"
	"strings"
	"time"

	"github.com/cespare/xxhash/v2"
)

// Kind says how requests of a route may be retried.
type Kind uint8

// Kinds of route.
const (
	AtMostOnce Kind = iota // runs at most once for each request id
	Repeatable             // may run more than once
	Stream                 // event stream; may be resumed after an event if Resumable
	Batch                  // jobs of many items that run asynchronously
)

// Target is one service that a route sends to, with its traffic weight.
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
	Resumable    bool // a stream may be resumed on another upstream after an event
	Targets      []Target
	Timeout      time.Duration // maximum duration of a request; 0 for no limit
	Objective    time.Duration // latency objective of the answer, first event or acceptance
	GapObjective time.Duration // longest gap between events that meets the objective
	Priority     int           // 0 is served first
	MaxAttempts  int           // maximum number of upstreams that one request may run on

	CompletionObjective time.Duration // batch: from the first submission to the last result
	Retention           time.Duration // batch: time after which an item may be abandoned
	TokenQuota          int64         // batch: maximum queued tokens of the route, or of each organisation on it; 0 for no limit

	Public bool // callers need no key

	// ConfigurationVersion is that of the configuration which the route belongs to. It is
	// set by NewConfiguration.
	ConfigurationVersion uint64 `json:"-"`
}

// ServiceFor returns the target service for a request id. The choice is
// deterministic, so that one id always maps to the same service.
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

// Repeatable reports whether a request of the route may be sent again from the
// start although an earlier attempt may have run.
func (r *Route) Repeatable() bool {
	return r.Kind == Repeatable || r.Kind == Batch || r.Kind == Stream && r.Resumable
}

// Limits are bounds on the requests of callers.
type Limits struct {
	MaxBodyBytes   int64
	MaxHeaderBytes int           // of the header fields of a request; 0 for the gateway's default
	HeaderTimeout  time.Duration // for the head of a request; 0 for none
	IdleTimeout    time.Duration // of a connection between requests; 0 for none
}

// Configuration is one version of the operator's configuration document.
type Configuration struct {
	Version uint64
	Routes  []Route
	Limits  Limits

	byHost        map[string][]*Route // longest prefix first
	organisations organisationIndex
	problems      []string
}

// NewConfiguration returns a configuration with its routes indexed by host, in which
// callers need no keys.
func NewConfiguration(version uint64, routes []Route, limits Limits) *Configuration {
	return NewOrganisationConfiguration(version, routes, limits, nil)
}

// NewOrganisationConfiguration returns a configuration whose callers belong to organisations;
// a nil list means that callers need no keys.
func NewOrganisationConfiguration(version uint64, routes []Route, limits Limits, organisations []Organisation) *Configuration {
	c := &Configuration{Version: version, Routes: slices.Clone(routes), Limits: limits, byHost: make(map[string][]*Route)}
	c.organisations, c.problems = indexOrganisations(organisations)
	for i := range c.Routes {
		r := &c.Routes[i]
		r.ConfigurationVersion = version
		c.byHost[r.Host] = append(c.byHost[r.Host], r)
	}
	for _, list := range c.byHost {
		sort.SliceStable(list, func(i, j int) bool { return len(list[i].Prefix) > len(list[j].Prefix) })
	}
	return c
}

// Match returns the route of a host with the longest matching path prefix, or nil.
func (c *Configuration) Match(host, path string) *Route {
	for _, r := range c.byHost[host] {
		if strings.HasPrefix(path, r.Prefix) {
			return r
		}
	}
	return nil
}

// RouteByName returns the route with the given name, or nil.
func (c *Configuration) RouteByName(name string) *Route {
	for i := range c.Routes {
		if c.Routes[i].Name == name {
			return &c.Routes[i]
		}
	}
	return nil
}
