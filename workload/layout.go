package workload

import (
	"fmt"

	"github.com/cespare/xxhash/v2"
)

// Fleet is the name of an operator's fleet.
type Fleet string

// Known fleets.
const (
	Ferreira Fleet = "ferreira"
	Donautal Fleet = "donautal"
)

// Layout lists the components and callers of a fleet that a trace refers to.
type Layout struct {
	DataCentres []string
	Entries     []Place
	Services    []ServiceLayout
	Callers     []string
}

// Place is the id of an instance or upstream and its data centre.
type Place struct {
	ID         string
	DataCentre string
}

// ServiceLayout is a service and its upstreams.
type ServiceLayout struct {
	Name      string
	Engine    bool // false for a plain service
	Upstreams []Place
}

const entriesPerDataCentre = 1

// LayoutOf returns the layout of a fleet, or false if the fleet is unknown. The
// upstreams of a service are assigned to the data centres in round-robin order.
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

// Range and step of the lengths of generated prompt prefixes.
const (
	minPrefixTokens   = 128
	prefixRangeTokens = 512
	prefixStepTokens  = 64
)

// PrefixTokens returns the length of a named prompt prefix in tokens, from 128
// to 640, or 0 for an empty name. The length is derived from a hash of the name.
// The prompt of a generated request is at least one token longer.
func PrefixTokens(name string) int {
	if name == "" {
		return 0
	}
	steps := uint64(prefixRangeTokens/prefixStepTokens + 1)
	return minPrefixTokens + int(xxhash.Sum64String(name)%steps)*prefixStepTokens
}

// profile describes the size and the daily demand of a fleet.
type profile struct {
	dataCentres []string
	services    []serviceProfile
	callers     int
	prefixes    int         // number of shared prompt prefixes of engine services
	hourlyRates [24]float64 // fractions of the peak rate, by hour of the day
	jobs        jobProfile
}

// serviceProfile describes the upstreams and the online demand of one service.
type serviceProfile struct {
	name               string
	engine             bool
	upstreams          int
	peakRate           float64 // requests per second at the daily peak
	promptTokens       float64 // median, without the prefix
	outputTokens       float64 // median
	nonRepeatableShare float64 // fraction of requests that must not be repeated
}

// jobProfile describes the batch demand of one day.
type jobProfile struct {
	service           string
	submitHour        float64 // hour of the day at which submission starts
	submitSpreadHours float64 // length of the submission period
	dueHours          float64 // time from submission to the deadline
	count             int     // jobs per day
	items             int     // per day, total of all jobs
	promptTokens      int     // median over jobs
	outputTokens      int     // median over jobs
}

// profiles holds the demand of each fleet. By the performance figures of
// standin/engine, the online peak is about 30% of the throughput of the fleet's
// engines with all slots occupied, and the batch work is 60% to 75% of what they
// can complete before its deadline.
var profiles = map[Fleet]profile{
	Ferreira: {
		dataCentres: []string{"mvd-a", "mvd-b", "mvd-c"},
		services: []serviceProfile{
			{name: "workshop-assistant", engine: true, upstreams: 12, peakRate: 27, promptTokens: 150, outputTokens: 120},
			{name: "order-portal", upstreams: 3, peakRate: 8, nonRepeatableShare: 0.3},
		},
		callers:  24,
		prefixes: 40,
		hourlyRates: [24]float64{
			0.05, 0.05, 0.05, 0.05, 0.05, 0.1, 0.3, 0.7, 1, 1, 0.95, 0.9,
			0.6, 0.8, 0.95, 1, 0.9, 0.7, 0.4, 0.2, 0.1, 0.1, 0.05, 0.05,
		},
		jobs: jobProfile{
			service: "workshop-assistant", submitHour: 20, submitSpreadHours: 1, dueHours: 8,
			count: 60, items: 900_000, promptTokens: 300, outputTokens: 200,
		},
	},
	Donautal: {
		dataCentres: []string{"linz", "wels", "enns"},
		services: []serviceProfile{
			{name: "ripening-assistant", engine: true, upstreams: 20, peakRate: 45, promptTokens: 200, outputTokens: 100},
			{name: "room-status", upstreams: 3, peakRate: 15, nonRepeatableShare: 0.05},
		},
		callers:  16,
		prefixes: 120,
		hourlyRates: [24]float64{
			0.4, 0.35, 0.35, 0.35, 0.5, 0.8, 1, 0.9, 0.7, 0.65, 0.6, 0.6,
			0.6, 0.6, 0.65, 0.7, 0.9, 1, 0.8, 0.6, 0.5, 0.45, 0.4, 0.4,
		},
		jobs: jobProfile{
			service: "ripening-assistant", submitHour: 22, submitSpreadHours: 0.5, dueHours: 7,
			count: 12, items: 1_300_000, promptTokens: 400, outputTokens: 250,
		},
	},
}
