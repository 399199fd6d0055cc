package workload

import (
	"fmt"

	"github.com/cespare/xxhash/v2"
)

// Fleet names an operator's fleet.
type Fleet string

// Fleets.
const (
	Ferreira Fleet = "ferreira"
	Donautal Fleet = "donautal"
)

// Layout is what a trace of a fleet refers to.
type Layout struct {
	DataCentres []string
	Entries     []Place
	Services    []ServiceLayout
	Callers     []string
}

// Place is an instance and its data centre.
type Place struct {
	ID         string
	DataCentre string
}

// ServiceLayout is a service and its upstreams.
type ServiceLayout struct {
	Name      string
	Engine    bool // else a plain service
	Upstreams []Place
}

const entriesPerDataCentre = 1

// LayoutOf returns the layout of a fleet, or false when the fleet is unknown.
// Upstreams are spread evenly over the data centres.
func LayoutOf(fleet Fleet) (Layout, bool) {
	p, ok := profiles[fleet]
	if !ok {
		return Layout{}, false
	}
	layout := Layout{DataCentres: p.dataCentres}
	for _, dc := range p.dataCentres {
		for i := range entriesPerDataCentre {
			layout.Entries = append(layout.Entries, Place{ID: fmt.Sprintf("entry-%s-%d", dc, i+1), DataCentre: dc})
		}
	}
	for _, s := range p.services {
		service := ServiceLayout{Name: s.name, Engine: s.engine}
		for i := range s.upstreams {
			dc := p.dataCentres[i%len(p.dataCentres)]
			id := fmt.Sprintf("%s-%s-%d", s.name, dc, i/len(p.dataCentres)+1)
			service.Upstreams = append(service.Upstreams, Place{ID: id, DataCentre: dc})
		}
		layout.Services = append(layout.Services, service)
	}
	for i := range p.callers {
		layout.Callers = append(layout.Callers, callerID(i))
	}
	return layout, true
}

func callerID(i int) string { return fmt.Sprintf("c%d", i+1) }

// Lengths of generated prompt prefixes in tokens.
const (
	prefixShortest = 128
	prefixSpan     = 512
	prefixGrain    = 64
)

// PrefixTokens is the length of a named prompt prefix in tokens, from 128 to
// 640. A request's prompt is at least one token longer.
func PrefixTokens(name string) int {
	if name == "" {
		return 0
	}
	steps := uint64(prefixSpan/prefixGrain + 1)
	return prefixShortest + int(xxhash.Sum64String(name)%steps)*prefixGrain
}

// profile is the demand of a fleet.
type profile struct {
	dataCentres []string
	services    []serviceProfile
	callers     int
	prefixes    int // of prompts of engine services
	curve       [24]float64
	jobs        jobProfile
}

// serviceProfile is the online demand of one service.
type serviceProfile struct {
	name         string
	engine       bool
	upstreams    int
	peakRate     float64 // requests per second at the top of the curve
	promptTokens float64 // median beyond the prefix
	outputTokens float64 // median
	nonRepeating float64 // share of requests that must not be repeated
}

// jobProfile is the batch demand of one day.
type jobProfile struct {
	service      string
	hour         float64 // of submission
	spreadHours  float64 // over which jobs are submitted
	dueHours     float64 // from submission
	count        int     // jobs per day
	items        int     // per day, over all jobs
	promptTokens int     // median of jobs
	outputTokens int     // median of jobs
}

// profiles size the online peak at about 30% of what the fleet's engines can do
// with full slots, and the batch work at 60% to 75% of what they can do until it
// is due, by the figures of standin/engine.
var profiles = map[Fleet]profile{
	Ferreira: {
		dataCentres: []string{"mvd-a", "mvd-b", "mvd-c"},
		services: []serviceProfile{
			{name: "workshop-assistant", engine: true, upstreams: 12, peakRate: 27, promptTokens: 150, outputTokens: 120},
			{name: "order-portal", upstreams: 3, peakRate: 8, nonRepeating: 0.3},
		},
		callers:  24,
		prefixes: 40,
		curve: [24]float64{
			0.05, 0.05, 0.05, 0.05, 0.05, 0.1, 0.3, 0.7, 1, 1, 0.95, 0.9,
			0.6, 0.8, 0.95, 1, 0.9, 0.7, 0.4, 0.2, 0.1, 0.1, 0.05, 0.05,
		},
		jobs: jobProfile{
			service: "workshop-assistant", hour: 20, spreadHours: 1, dueHours: 8,
			count: 60, items: 900_000, promptTokens: 300, outputTokens: 200,
		},
	},
	Donautal: {
		dataCentres: []string{"linz", "wels", "enns"},
		services: []serviceProfile{
			{name: "ripening-assistant", engine: true, upstreams: 20, peakRate: 45, promptTokens: 200, outputTokens: 100},
			{name: "room-status", upstreams: 3, peakRate: 15, nonRepeating: 0.05},
		},
		callers:  16,
		prefixes: 120,
		curve: [24]float64{
			0.4, 0.35, 0.35, 0.35, 0.5, 0.8, 1, 0.9, 0.7, 0.65, 0.6, 0.6,
			0.6, 0.6, 0.65, 0.7, 0.9, 1, 0.8, 0.6, 0.5, 0.45, 0.4, 0.4,
		},
		jobs: jobProfile{
			service: "ripening-assistant", hour: 22, spreadHours: 0.5, dueHours: 7,
			count: 12, items: 1_300_000, promptTokens: 400, outputTokens: 250,
		},
	},
}
