// Package configcheck checks a gateway's configuration before the operator sends it, and
// says what it changes.
package configcheck

import (
	"fmt"
	"math"
	"slices"
	"strconv"
	"strings"
	"time"

	"github.com/magnoliausher/magnoliausher/finding"
	"github.com/magnoliausher/magnoliausher/fleet"
)

// Severity says what a finding means for the gateway.
type Severity string

// Severities.
const (
	Error   Severity = "error"   // an entry has no effect, or not the written one
	Warning Severity = "warning" // probably not meant
)

// Finding is a finding whose key is the path of the entry.
type Finding struct {
	Severity Severity `json:"severity"`
	finding.Finding
}

// String formats the finding in one line.
func (f Finding) String() string { return string(f.Severity) + ": " + f.Finding.String() }

// Document is a decoded configuration with what the gateway does not keep of the text.
type Document struct {
	Configuration  *fleet.Configuration
	Routes         []RouteText // one for each route of Configuration
	MaxHeaderBytes *float64    // nil if not set
}

// RouteText is what the document says of a route.
type RouteText struct {
	Kind        string
	KnownKind   bool
	MaxAttempts int  // 0 if not set
	Reserved    bool // the gateway's own calls take the path prefix
}

const (
	// minHeaderBytes leaves room for a key and the usual header fields.
	minHeaderBytes = 512
	// A body takes up to 7/4 of its size while its buffer grows, a batch job about 17/4
	// while it is submitted. The notes of package settings use the same figures.
	bodyQuarters = 7
	jobQuarters  = 17
	// maxBodyBytes is above the memory of any gateway.
	maxBodyBytes = 1 << 40
)

type checker struct {
	findings []Finding
	path     string
}

func (c *checker) add(s Severity, format string, args ...any) {
	c.findings = append(c.findings, Finding{s, finding.Finding{Key: c.path, Reason: fmt.Sprintf(format, args...)}})
}

func (c *checker) addIf(condition bool, s Severity, reason string) {
	if condition {
		c.add(s, "%s", reason)
	}
}

func (c *checker) duration(name string, d time.Duration) {
	c.addIf(d < 0 || d > math.MaxInt64/2, Error, name+" is below 0 or too large")
}

// Check returns the findings of a document in its order. A document in force, if not nil,
// must be older; bodyMemory is the memory that one request body may take on the smallest
// gateway, 0 if that is not known.
func Check(d *Document, inForce *fleet.Configuration, bodyMemory int64) []Finding {
	c := &checker{findings: []Finding{}, path: "version"}
	version := d.Configuration.Version
	c.addIf(version == 0, Error, "is 0 or not set; versions begin at 1")
	if inForce != nil && version <= inForce.Version {
		c.add(Error, "%d is not above %d, the version in force; gateways ignore the document", version, inForce.Version)
	}
	c.checkRoutes(d)
	c.checkLimits(d, bodyMemory)
	c.checkOrganisations(d.Configuration)
	return c.findings
}

type place struct{ host, prefix string }

func placeOf(r *fleet.Route) place { return place{r.Host, r.Prefix} }

// firstBy returns the first element for each key.
func firstBy[T any, K comparable](list []T, key func(*T) K) map[K]*T {
	first := make(map[K]*T)
	for i := range list {
		if k := key(&list[i]); first[k] == nil {
			first[k] = &list[i]
		}
	}
	return first
}

func entryPath(section string, i int, name string) string {
	return strings.TrimSpace(fmt.Sprintf("%s[%d] %s", section, i, name))
}

func (c *checker) checkRoutes(d *Document) {
	routes := d.Configuration.Routes
	places, names := firstBy(routes, placeOf), firstBy(routes, func(r *fleet.Route) string { return r.Name })
	for i := range routes {
		r, text := &routes[i], d.Routes[i]
		c.path = entryPath("routes", i, r.Name)
		c.addIf(places[placeOf(r)] != r, Error, "never matches: an earlier route has the same host and prefix")
		c.addIf(names[r.Name] != r, Warning, "has the name of an earlier route; tokens of batch jobs are counted by name")
		c.addIf(r.Host == "", Error, "has no host")
		switch {
		case r.Prefix == "":
			c.add(Error, "has no path-prefix")
		case !strings.HasPrefix(r.Prefix, "/") || !strings.HasSuffix(r.Prefix, "/"):
			c.add(Error, "path-prefix %q does not begin and end with a slash", r.Prefix)
		case text.Reserved:
			c.add(Error, "never matches: the gateway's own calls take path-prefix %q", r.Prefix)
		}
		if !text.KnownKind {
			c.add(Warning, "kind %q is unknown; requests run at most once", text.Kind)
		}
		c.checkTargets(r)
		c.checkRouteLimits(r, text)
	}
}

func (c *checker) checkTargets(r *fleet.Route) {
	total := 0
	for i, t := range r.Targets {
		total += max(t.Weight, 0)
		switch {
		case len(r.Targets) == 1:
			c.addIf(t.Service == "", Error, "has no service")
			c.addIf(t.Weight < 1, Warning, "the only entry of traffic-split gets all requests although its weight is below 1")
		case t.Service == "":
			c.add(Error, "traffic-split[%d] has no service", i)
		case t.Weight < 1:
			c.add(Warning, "traffic-split[%d] %s is never chosen: its weight is below 1", i, t.Service)
		}
	}
	c.addIf(len(r.Targets) > 1 && total <= 0, Error, "no service is ever chosen: the weights do not add up to more than 0")
}

func (c *checker) checkRouteLimits(r *fleet.Route, text RouteText) {
	c.duration("timeout-ms", r.Timeout)
	c.duration("target-latency-ms", r.Objective)
	c.duration("gap-target-ms", r.GapObjective)
	c.duration("completion-target-ms", r.CompletionObjective)
	c.duration("retention-s", r.Retention)
	batch := r.Kind == fleet.Batch
	c.addIf(!batch && r.Timeout > 0 && r.Timeout < r.Objective, Warning, "timeout-ms is below target-latency-ms")
	c.addIf(batch && r.Retention > 0 && r.Retention < r.CompletionObjective, Warning,
		"retention-s is below completion-target-ms; items may be abandoned before they are due")
	c.addIf(!batch && (r.CompletionObjective != 0 || r.Retention != 0 || r.TokenQuota != 0), Warning,
		"completion-target-ms, retention-s and cap have no effect: the kind is not batch")
	c.addIf(r.Kind != fleet.Stream && (r.Resumable || r.GapObjective != 0), Warning,
		"resumable and gap-target-ms have no effect: the kind is not stream")
	c.addIf(text.MaxAttempts > 1 && !r.Repeatable(), Warning, "max-attempts has no effect: requests of the route are not repeated")
	c.addIf(text.MaxAttempts < 0, Warning, "max-attempts is below 0; the default counts")
	c.addIf(r.TokenQuota < 0, Warning, "cap is below 0, which sets no limit")
	c.addIf(r.Priority < 0, Warning, "priority is below 0")
}

func (c *checker) checkLimits(d *Document, memory int64) {
	c.path = "limits"
	l := d.Configuration.Limits
	c.duration("header-timeout-ms", l.HeaderTimeout)
	c.duration("idle-timeout-ms", l.IdleTimeout)
	c.addIf(d.MaxHeaderBytes != nil && *d.MaxHeaderBytes < minHeaderBytes, Warning,
		"max-header-bytes is below "+strconv.Itoa(minHeaderBytes)+", which a head with a key needs")
	size := l.MaxBodyBytes
	c.addIf(size <= 0, Warning, "max-body-bytes is not above 0; the gateway's default counts")
	c.addIf(size > maxBodyBytes, Error, "max-body-bytes is too large")
	hasBatch := slices.ContainsFunc(d.Configuration.Routes, func(r fleet.Route) bool { return r.Kind == fleet.Batch })
	switch {
	case memory <= 0:
	case size > memory/bodyQuarters*4:
		c.add(Error, "max-body-bytes does not fit the memory of the smallest gateway, which refuses such bodies")
	case hasBatch && size > memory/jobQuarters*4:
		c.add(Warning, "a batch job of max-body-bytes does not fit the memory of the smallest gateway")
	}
}

func (c *checker) checkOrganisations(configuration *fleet.Configuration) {
	c.path = "tenants"
	c.addIf(configuration.RequiresKeys() && len(configuration.Organisations()) == 0, Warning, "is empty: only public routes can be called")
	for _, problem := range configuration.Problems() {
		c.add(Warning, "%s", problem)
	}
	names, valid := organisationsByName(configuration), configuration.KeyHolders()
	for i := range configuration.Organisations() {
		o := &configuration.Organisations()[i]
		c.path = entryPath("tenants", i, o.Name)
		usable := 0
		for _, key := range o.Keys {
			if valid[key] == o {
				usable++
			}
		}
		c.addIf(len(o.Keys) > 0 && usable == 0, Error, "none of its keys is valid")
		c.addIf(o.RatePerSecond == 0 && o.Burst != 0, Warning, "burst has no effect without rate-per-s")
		c.addIf(o.Name != "" && names[o.Name] != o, Warning, "has the name of an earlier one; both count as one organisation")
	}
}

func organisationsByName(c *fleet.Configuration) map[string]*fleet.Organisation {
	return firstBy(c.Organisations(), func(o *fleet.Organisation) string { return o.Name })
}
