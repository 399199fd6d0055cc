// Package metric names the counters and histograms of all roles.
package metric

import (
	"fmt"
	"net/http"
	"strings"

	"github.com/VictoriaMetrics/metrics"
)

// Refused counts a refused request with its reason. Role is entry or agent.
func Refused(role, service, class, reason string) {
	metrics.GetOrCreateCounter(fmt.Sprintf(
		`magnoliausher_refused_total{role=%q,service=%q,class=%q,reason=%q}`, role, service, class, reason)).Inc()
}

// Retried counts a further attempt of a request with the reason of the earlier one's end.
func Retried(service, class, reason string) {
	metrics.GetOrCreateCounter(fmt.Sprintf(
		`magnoliausher_retried_total{service=%q,class=%q,reason=%q}`, service, class, reason)).Inc()
}

// Preempted counts batch attempts that gave way to online work.
func Preempted(service string) {
	metrics.GetOrCreateCounter(fmt.Sprintf(`%s{service=%q}`, PreemptedName, service)).Inc()
}

// FirstToken records the time from a request's arrival to its first token, in seconds.
func FirstToken(service, class string, seconds float64) {
	metrics.GetOrCreateHistogram(fmt.Sprintf(
		`magnoliausher_first_token_seconds{service=%q,class=%q}`, service, class)).Update(seconds)
}

// TokenInterval records the time between two tokens of one request, in seconds.
func TokenInterval(service, class string, seconds float64) {
	TokenIntervals(service, class).Update(seconds)
}

// TokenIntervals returns the histogram of TokenInterval. A caller that records
// every token keeps it, because building its name costs more than an update.
func TokenIntervals(service, class string) *metrics.Histogram {
	return metrics.GetOrCreateHistogram(fmt.Sprintf(
		`magnoliausher_token_interval_seconds{service=%q,class=%q}`, service, class))
}

// Handler serves all metrics in the Prometheus text format.
func Handler() http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		metrics.WritePrometheus(w, true)
	})
}

// Sum adds up all counters of one name, over all labels.
func Sum(name string) uint64 {
	var total uint64
	for _, full := range metrics.ListMetricNames() {
		if full == name || strings.HasPrefix(full, name+"{") {
			total += metrics.GetOrCreateCounter(full).Get()
		}
	}
	return total
}

// PreemptedName is the counter of batch attempts that gave way to online work.
const PreemptedName = "magnoliausher_preempted_total"

// Ordered counts orders to engines with what became of them.
func Ordered(service, kind, outcome string) {
	metrics.GetOrCreateCounter(fmt.Sprintf(
		`magnoliausher_orders_total{service=%q,kind=%q,outcome=%q}`, service, kind, outcome)).Inc()
}

// LogLinesDropped counts log lines that were dropped because they could not be
// written in time.
func LogLinesDropped(lines int) {
	metrics.GetOrCreateCounter("magnoliausher_log_lines_dropped_total").Add(lines)
}

// Answered counts an answer by its status, 0 for one that was broken off, and
// records the time from arrival to its end, in seconds.
func Answered(service, class string, status int, seconds float64) {
	metrics.GetOrCreateCounter(fmt.Sprintf(
		`magnoliausher_answers_total{service=%q,class=%q,status="%d"}`, service, class, status)).Inc()
	metrics.GetOrCreateHistogram(fmt.Sprintf(
		`magnoliausher_answer_seconds{service=%q,class=%q}`, service, class)).Update(seconds)
}

// StoreCalled counts a call of the platform's store by its outcome ("ok",
// "refused", "failed" or another answer of the store) and records the time that
// it took, in seconds.
func StoreCalled(call, outcome string, seconds float64) {
	metrics.GetOrCreateCounter(fmt.Sprintf(`magnoliausher_store_calls_total{call=%q,outcome=%q}`, call, outcome)).Inc()
	metrics.GetOrCreateHistogram(fmt.Sprintf(`magnoliausher_store_call_seconds{call=%q}`, call)).Update(seconds)
}

// ReportsName is the counter of datagrams between gateways, by where they go:
// to gateways of the own data centre ("near") or of others ("far").
const ReportsName = "magnoliausher_reports_sent_total"

// ReportsSent counts datagrams to other gateways and their bytes.
func ReportsSent(to string, datagrams, bytes int) {
	metrics.GetOrCreateCounter(fmt.Sprintf(`%s{to=%q}`, ReportsName, to)).Add(datagrams)
	metrics.GetOrCreateCounter(fmt.Sprintf(`magnoliausher_report_bytes_sent_total{to=%q}`, to)).Add(bytes)
}
