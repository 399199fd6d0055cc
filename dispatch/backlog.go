package dispatch

import "maps"

// Backlog counts batch items that wait for a slot.
type Backlog struct {
	Items int // of all services
	// Services has the items by service. Those of gateways of earlier builds, which report
	// one number only, are in none.
	Services map[Key]int
}

// Of returns the items that may compete for the slots of a service. An item of unknown
// service counts for each.
func (b Backlog) Of(service Key) int {
	unknown := b.Items
	for _, n := range b.Services {
		unknown -= n
	}
	return b.Services[service] + max(unknown, 0)
}

// add adds the items of another backlog.
func (b *Backlog) add(other Backlog) {
	b.Items += other.Items
	for service, n := range other.Services {
		if b.Services == nil {
			b.Services = make(map[Key]int)
		}
		b.Services[service] += n
	}
}

func (b Backlog) equal(other Backlog) bool {
	return b.Items == other.Items && maps.Equal(b.Services, other.Services)
}
