package entry

import (
	"fmt"
	"time"

	"github.com/VictoriaMetrics/metrics"

	"github.com/magnoliausher/magnoliausher/metric"
)

// countCrossed counts events that carried another attempt's id.
func countCrossed(service string) {
	metrics.GetOrCreateCounter(fmt.Sprintf(`magnoliausher_crossed_events_total{service=%q}`, service)).Inc()
}

func observeFirst(service string, d time.Duration) {
	metric.FirstToken(service, classOnline, d.Seconds())
}

// observeInterval records the mean time between the tokens of one event.
func (rq *request) observeInterval(d time.Duration, tokens uint32) {
	if rq.intervals == nil {
		rq.intervals = metric.TokenIntervals(rq.service.Name, classOnline)
	}
	rq.intervals.Update(d.Seconds() / float64(max(tokens, 1)))
}

// registerStale exports whether the instance's configuration may be stale.
func registerStale(instance string, stale func(time.Time) bool) {
	metrics.GetOrCreateGauge(fmt.Sprintf(`magnoliausher_config_possibly_stale{instance=%q}`, instance), func() float64 {
		if stale(time.Now()) {
			return 1
		}
		return 0
	})
}

// registerLinks exports the number of agents that the instance is connected to.
func registerLinks(instance string, connected func() int) {
	metrics.GetOrCreateGauge(fmt.Sprintf(`magnoliausher_links_connected{instance=%q}`, instance), func() float64 {
		return float64(connected())
	})
}
