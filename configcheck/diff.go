package configcheck

import (
	"cmp"
	"fmt"
	"maps"
	"slices"
	"strings"

	"github.com/magnoliausher/magnoliausher/fleet"
)

// Change is one difference between two configurations and what it does to running work.
type Change struct {
	Path   string `json:"path"`
	Change string `json:"change"`
	Effect string `json:"effect"`
}

// String formats the change in one line.
func (c Change) String() string { return c.Path + ": " + c.Change + "; " + c.Effect }

const (
	newRequests = "holds for new requests; those in progress keep the old value"
	newItems    = "holds for new requests and for items of jobs that start from now on"
	newOrder    = "new requests are ordered by it; waiting ones keep their place"
)

type differ struct{ changes []Change }

func (d *differ) add(path, change, effect string) {
	d.changes = append(d.changes, Change{path, change, effect})
}

// compare adds a change if the values differ.
func compare[T comparable](d *differ, path, name string, old, new T, effect string) {
	if old != new {
		d.add(path, fmt.Sprintf("%s %v -> %v", name, old, new), effect)
	}
}

// compareLimit adds a change of a limit, for which a value of 0 or below is none.
func compareLimit[T cmp.Ordered](d *differ, path, name string, old, new T, falls, rises string) {
	var none T
	if old <= none || new > none && new < old {
		rises = falls
	}
	compare(d, path, name, max(old, none), max(new, none), rises+" (0 is no limit)")
}

// Diff returns the changes from one configuration to the next.
func Diff(from, to *fleet.Configuration) []Change {
	d := &differ{}
	compare(d, "version", "version", from.Version, to.Version, "in force at each gateway within 3 s if it rises, else ignored")
	d.routes(from, to)
	old, new := from.Limits, to.Limits
	compare(d, "limits", "max-body-bytes", old.MaxBodyBytes, new.MaxBodyBytes, "larger new requests get 413 (0 is the gateway's default)")
	compare(d, "limits", "header-timeout", old.HeaderTimeout, new.HeaderTimeout, newRequests)
	compare(d, "limits", "idle-timeout", old.IdleTimeout, new.IdleTimeout, "holds for connections that become idle from now on")
	d.organisations(from, to)
	return d.changes
}

func routeText(r *fleet.Route) string {
	return strings.TrimSpace(fmt.Sprintf("route %s %s%s", r.Name, r.Host, r.Prefix))
}

func (d *differ) routes(from, to *fleet.Configuration) {
	before, after := firstBy(from.Routes, placeOf), firstBy(to.Routes, placeOf)
	for i := range from.Routes {
		r := &from.Routes[i]
		next := after[placeOf(r)]
		switch other := to.Match(r.Host, r.Prefix); {
		case before[placeOf(r)] != r: // never matched
		case next != nil:
			d.route(r, next)
		case other != nil:
			d.add(routeText(r), "dropped", "new requests and waiting items go by "+routeText(other)+"; requests in progress end as they began")
		default:
			d.add(routeText(r), "dropped", "new requests get 404, waiting items of jobs are abandoned; requests in progress end as they began")
		}
	}
	for i := range to.Routes {
		r := &to.Routes[i]
		switch other := from.Match(r.Host, r.Prefix); {
		case after[placeOf(r)] != r || before[placeOf(r)] != nil:
		case other != nil:
			d.add(routeText(r), "added", "takes new requests and waiting items from "+routeText(other))
		default:
			d.add(routeText(r), "added", "no running work is affected")
		}
	}
}

func (d *differ) route(old, new *fleet.Route) {
	path := routeText(old)
	compare(d, path, "name", old.Name, new.Name, "tokens of accepted jobs stay counted under the old name; the cap begins anew under the new one")
	compare(d, path, "kind", kindText(old.Kind), kindText(new.Kind), newRequests)
	compare(d, path, "services", targetsText(old.Targets), targetsText(new.Targets), newItems)
	compare(d, path, "time-out", old.Timeout, new.Timeout, newRequests)
	compare(d, path, "latency objective", old.Objective, new.Objective, newRequests)
	compare(d, path, "gap objective", old.GapObjective, new.GapObjective, newRequests)
	compare(d, path, "priority", old.Priority, new.Priority, newOrder)
	compare(d, path, "max-attempts", old.MaxAttempts, new.MaxAttempts, "holds for new requests and for all unfinished items of jobs")
	compare(d, path, "resumable", old.Resumable, new.Resumable, newRequests)
	compare(d, path, "completion target", old.CompletionObjective, new.CompletionObjective, "waiting items of all jobs are ordered by it")
	compareLimit(d, path, "retention", old.Retention, new.Retention, "waiting items of jobs older than it are abandoned", "waiting items are kept longer")
	compareLimit(d, path, "cap", old.TokenQuota, new.TokenQuota,
		"accepted jobs run on; new ones get 429 while the waiting tokens leave no room", "more jobs are accepted")
	compare(d, path, "public", old.Public, new.Public, "decides whether new requests need a key")
}

func kindText(k fleet.Kind) string {
	return [...]string{"at most once", "idempotent", "stream", "batch"}[k]
}

func targetsText(list []fleet.Target) string {
	if len(list) == 1 {
		return list[0].Service
	}
	texts := make([]string, len(list))
	for i, t := range list {
		texts[i] = fmt.Sprintf("%s (%d)", t.Service, t.Weight)
	}
	return strings.Join(texts, ", ")
}

func (d *differ) organisations(from, to *fleet.Configuration) {
	if from.RequiresKeys() != to.RequiresKeys() {
		d.add("tenants", "callers need keys: "+fmt.Sprint(to.RequiresKeys()), "decides whether new requests without a valid key get 401, but on public routes")
	}
	before, after := organisationsByName(from), organisationsByName(to)
	oldKeys, newKeys := from.KeyHolders(), to.KeyHolders()
	names := slices.AppendSeq(slices.Collect(maps.Keys(before)), maps.Keys(after))
	slices.Sort(names)
	for _, name := range slices.Compact(names) {
		path, old, new := "tenant "+name, before[name], after[name]
		switch {
		case name == "": // its keys are not valid
		case new == nil:
			d.add(path, "removed", "its jobs run on; nobody can read their results or cancel them")
		case old == nil:
			d.add(path, "added", "no running work is affected")
		default:
			compareLimit(d, path, "rate-per-s", old.RatePerSecond, new.RatePerSecond,
				"binds 5 s after all gateways have the version; requests above it get 429", "more requests are admitted")
			compare(d, path, "burst", old.Burst, new.Burst, "changes how many requests may come at once beyond the rate")
			compare(d, path, "priority", priorityText(old), priorityText(new), newOrder)
		}
		d.keys(path, name, oldKeys, newKeys)
	}
}

func priorityText(o *fleet.Organisation) string {
	if o.Priority == nil {
		return "of the route"
	}
	return fmt.Sprint(*o.Priority)
}

// keys adds how many keys of an organisation begin, end and go to another one. Neither
// keys nor their hashes are shown.
func (d *differ) keys(path, name string, before, after map[fleet.KeyHash]*fleet.Organisation) {
	ended, moved, begun := 0, 0, 0
	for key, holder := range before {
		switch next := after[key]; {
		case holder == nil || holder.Name != name:
		case next == nil:
			ended++
		case next.Name != name:
			moved++
		}
	}
	for key, holder := range after {
		if holder != nil && holder.Name == name && before[key] == nil {
			begun++
		}
	}
	count := func(n int, what, effect string) {
		if n > 0 {
			d.add(path, fmt.Sprintf("%d %s %s", n, map[bool]string{true: "key", false: "keys"}[n == 1], what), effect)
		}
	}
	count(ended, "removed", "new requests with them get 401 where keys are needed; requests in progress and jobs run on")
	count(moved, "given to another organisation", "their callers can no longer read the jobs of this one")
	count(begun, "added", "valid at each gateway within 3 s")
}
