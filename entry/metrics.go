package entry

import (
	"fmt"
	"time"

	"github.com/VictoriaMetrics/metrics"

	"github.com/magnoliausher/magnoliausher/metric"
)

// countMisroutedEvent counts an event with the ID of another attempt.
func countMisroutedEvent(service string) {
	metrics.GetOrCreateCounter(fmt.Sprintf(`magnoliausher_crossed_events_total{service=%q}`, service)).Inc()
}

func observeFirstToken(service string, d time.Duration) {
	metric.FirstToken(service, classOnline, d.Seconds())
}

// observeInterval records the mean interval between the tokens of one event.
func (rq *request) observeInterval(d time.Duration, tokens uint32) {
	if rq.tokenIntervals == nil {
		rq.tokenIntervals = metric.TokenIntervals(rq.service.Name, classOnline)
	}
	rq.tokenIntervals.Update(d.Seconds() / float64(max(tokens, 1)))
}

// registerStaleGauge exports whether the instance's configuration may be stale.
func registerStaleGauge(instance string, stale func(time.Time) bool) {
	metrics.GetOrCreateGauge(fmt.Sprintf(`magnoliausher_config_possibly_stale{instance=%q}`, instance), func() float64 {
		if stale(time.Now()) {
			return 1
		}
		return 0
	})
}

// registerLinksGauge exports the number of agents that the instance is connected to.
func registerLinksGauge(instance string, connected func() int) {
	metrics.GetOrCreateGauge(fmt.Sprintf(`magnoliausher_links_connected{instance=%q}`, instance), func() float64 {
		return float64(connected())
	})
}
