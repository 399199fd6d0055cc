package peer

import (
	"cmp"
	"maps"
	"slices"
	"sync"
	"time"

	"github.com/magnoliausher/magnoliausher/dispatch"
	rpc "github.com/magnoliausher/magnoliausher/rpc/magnoliausher/v1"
)

const (
	// organisationLoadExpiry is the time after which the requests in progress of an
	// organisation are dropped if they are not reported again. Heartbeats repeat all
	// organisations within 1.2 s.
	organisationLoadExpiry = 2 * time.Second
	// organisationLoadInterval is the time over which reported changes are merged before
	// the dispatcher learns of them, shorter than the age of the reports themselves.
	organisationLoadInterval = 30 * time.Millisecond
)

// organisationLoads sums the requests in progress that other gateways report by
// organisation. The counts are absolute, so that a lost report is made up for by the
// next one. It is safe for concurrent use.
type organisationLoads struct {
	mu        sync.Mutex
	sources   map[loadSource]map[dispatch.Key]reportedLoad
	published time.Time
}

// loadSource is a gateway of the local data centre, or another data centre if the name
// is empty.
type loadSource struct{ dataCentre, gateway string }

type reportedLoad struct {
	requests int
	heard    time.Time
}

func newOrganisationLoads() *organisationLoads {
	return &organisationLoads{sources: make(map[loadSource]map[dispatch.Key]reportedLoad)}
}

// merge records the counts of a source. It returns the sums over all sources if the
// dispatcher should learn of them now, or nil.
func (o *organisationLoads) merge(from loadSource, list []*rpc.GatewayUsage, now time.Time) map[dispatch.Key]int {
	if len(list) == 0 {
		return nil
	}
	o.mu.Lock()
	defer o.mu.Unlock()
	loads := o.sources[from]
	if loads == nil {
		loads = make(map[dispatch.Key]reportedLoad)
		o.sources[from] = loads
	}
	for _, u := range list {
		loads[dispatch.Key(u.Organisation)] = reportedLoad{requests: int(u.InProgress), heard: now}
	}
	if now.Sub(o.published) < organisationLoadInterval {
		return nil
	}
	o.published = now
	return o.sum(now, everySource)
}

func everySource(loadSource) bool { return true }

// all returns the sums over all sources. Unlike merge it also tells that reports have
// ended.
func (o *organisationLoads) all(now time.Time) map[dispatch.Key]int {
	o.mu.Lock()
	defer o.mu.Unlock()
	return o.sum(now, everySource)
}

// sum adds up the sources that match a filter, and drops expired counts. o.mu must be
// held.
func (o *organisationLoads) sum(now time.Time, include func(loadSource) bool) map[dispatch.Key]int {
	total := make(map[dispatch.Key]int)
	for source, loads := range o.sources {
		maps.DeleteFunc(loads, func(_ dispatch.Key, load reportedLoad) bool { return now.Sub(load.heard) > organisationLoadExpiry })
		if len(loads) == 0 {
			delete(o.sources, source)
		}
		for organisation, load := range loads {
			if load.requests > 0 && include(source) {
				total[organisation] += load.requests
			}
		}
	}
	return total
}

// inDataCentre returns the sums over the gateways of the local data centre, without this
// one.
func (o *organisationLoads) inDataCentre(now time.Time) map[dispatch.Key]int {
	o.mu.Lock()
	defer o.mu.Unlock()
	return o.sum(now, func(s loadSource) bool { return s.gateway != "" })
}

// maxUnlimitedEntries limits the entries for organisations without a rate limit to about
// 600 bytes: those with the most requests in progress.
const maxUnlimitedEntries = 48

// addOrganisationLoads adds the requests in progress at this gateway, and those of
// others, to the entries of a report, and entries for organisations without a rate limit
// to a complete one.
func (e *Exchange) addOrganisationLoads(list []*rpc.GatewayUsage, others map[dispatch.Key]int, all bool) []*rpc.GatewayUsage {
	if len(list) == 0 && !all {
		return list
	}
	loads := make(map[dispatch.Key]int)
	maps.Copy(loads, others)
	for key, n := range e.cfg.Dispatcher.OrganisationLoads() {
		loads[key] += n
	}
	for _, u := range list {
		u.InProgress = uint32(loads[dispatch.Key(u.Organisation)])
	}
	if !all {
		return list
	}
	var unlimited []*rpc.GatewayUsage
	for key, n := range loads {
		if n > 0 && !e.cfg.Limits.Limits(uint32(key)) {
			unlimited = append(unlimited, &rpc.GatewayUsage{Organisation: uint32(key), InProgress: uint32(n), LoadOnly: true})
		}
	}
	slices.SortFunc(unlimited, func(a, b *rpc.GatewayUsage) int { return cmp.Compare(b.InProgress, a.InProgress) })
	return append(list, unlimited[:min(len(unlimited), maxUnlimitedEntries)]...)
}

// mergeOrganisationLoads passes on the requests in progress that a source reports.
func (e *Exchange) mergeOrganisationLoads(from loadSource, list []*rpc.GatewayUsage, now time.Time) {
	if sums := e.organisationLoads.merge(from, list, now); sums != nil {
		e.cfg.Dispatcher.SetRemoteOrganisationLoads(sums)
	}
}
