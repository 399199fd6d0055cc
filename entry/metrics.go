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
func observeInterval(service string, d time.Duration, tokens uint32) {
	metric.TokenInterval(service, classOnline, d.Seconds()/float64(max(tokens, 1)))
}
