// Package metric defines the counters and histograms of all roles.
package metric

import (
	"fmt"
	"net/http"
	"strings"

	"github.com/VictoriaMetrics/metrics"
)

// Refused counts a refused request by reason. The role is entry or agent.
func Refused(role, service, class, reason string) {
	metrics.GetOrCreateCounter(fmt.Sprintf(
		`magnoliausher_refused_total{role=%q,service=%q,class=%q,reason=%q}`, role, service, class, reason)).Inc()
}

// Retried counts a retry of a request by the reason for which the previous
// attempt ended. The class is that of the request; package forward passes the name
// of the route instead.
func Retried(service, class, reason string) {
	metrics.GetOrCreateCounter(fmt.Sprintf(
		`magnoliausher_retried_total{service=%q,class=%q,reason=%q}`, service, class, reason)).Inc()
}

// Preempted counts batch attempts that were preempted by online work.
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

// TokenIntervals returns the histogram that TokenInterval updates. Callers that
// record every token should keep it, because building the metric name costs more
// than the update.
func TokenIntervals(service, class string) *metrics.Histogram {
	return metrics.GetOrCreateHistogram(fmt.Sprintf(
		`magnoliausher_token_interval_seconds{service=%q,class=%q}`, service, class))
}

// HedgesName is the name of the counter of hedged requests. The label "event" is sent, won
// (its answer was passed on) or cancelled (the first attempt answered before it).
const HedgesName = "magnoliausher_hedges_total"

// Hedged counts second attempts beside a first one that was slow, by what became of them.
func Hedged(service, event string) {
	metrics.GetOrCreateCounter(fmt.Sprintf(`%s{service=%q,event=%q}`, HedgesName, service, event)).Inc()
}

// HedgeRefused counts requests that were not hedged, by reason.
func HedgeRefused(service, reason string) {
	metrics.GetOrCreateCounter(fmt.Sprintf(`magnoliausher_hedges_refused_total{service=%q,reason=%q}`, service, reason)).Inc()
}

// Handler serves all metrics in the Prometheus text format.
func Handler() http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		metrics.WritePrometheus(w, true)
	})
}

// Sum returns the sum of all counters with the given name, over all labels.
func Sum(name string) uint64 {
	var total uint64
	for _, full := range metrics.ListMetricNames() {
		if full == name || strings.HasPrefix(full, name+"{") {
			total += metrics.GetOrCreateCounter(full).Get()
		}
	}
	return total
}

// PreemptedName is the name of the counter of preempted batch attempts.
const PreemptedName = "magnoliausher_preempted_total"

// Ordered counts orders sent to engines, by outcome.
func Ordered(service, kind, outcome string) {
	metrics.GetOrCreateCounter(fmt.Sprintf(
		`magnoliausher_orders_total{service=%q,kind=%q,outcome=%q}`, service, kind, outcome)).Inc()
}

// LogLinesDropped counts log lines dropped because the output was too slow.
func LogLinesDropped(lines int) {
	metrics.GetOrCreateCounter("magnoliausher_log_lines_dropped_total").Add(lines)
}

// Answered counts an answer by status, or 0 if it was interrupted, and records the
// time from the request's arrival to the end of the answer, in seconds.
func Answered(service, class string, status int, seconds float64) {
	metrics.GetOrCreateCounter(fmt.Sprintf(
		`magnoliausher_answers_total{service=%q,class=%q,status="%d"}`, service, class, status)).Inc()
	metrics.GetOrCreateHistogram(fmt.Sprintf(
		`magnoliausher_answer_seconds{service=%q,class=%q}`, service, class)).Update(seconds)
}

// StoreCalled counts a call of the platform's store by outcome ("ok", "refused",
// "failed" or another answer of the store) and records its duration in seconds.
func StoreCalled(call, outcome string, seconds float64) {
	metrics.GetOrCreateCounter(fmt.Sprintf(`magnoliausher_store_calls_total{call=%q,outcome=%q}`, call, outcome)).Inc()
	metrics.GetOrCreateHistogram(fmt.Sprintf(`magnoliausher_store_call_seconds{call=%q}`, call)).Update(seconds)
}

// StoreBytes counts the bytes of the bodies that calls of the platform's store sent
// and received.
func StoreBytes(call string, sent, received int) {
	metrics.GetOrCreateCounter(fmt.Sprintf(`magnoliausher_store_bytes_sent_total{call=%q}`, call)).Add(sent)
	metrics.GetOrCreateCounter(fmt.Sprintf(`magnoliausher_store_bytes_received_total{call=%q}`, call)).Add(received)
}

// StoreResponseRejected counts responses of the platform's store to a transaction that
// belonged to another one.
func StoreResponseRejected() {
	metrics.GetOrCreateCounter("magnoliausher_store_responses_rejected_total").Inc()
}

// BatchWithheld counts periods of two seconds in which items of a service waited at a
// gateway and none started.
func BatchWithheld(service string) {
	metrics.GetOrCreateCounter(fmt.Sprintf(`magnoliausher_batch_withheld_total{service=%q}`, service)).Inc()
}

// ResponseRejected counts responses of upstreams that were not passed on, by reason.
func ResponseRejected(reason string) {
	metrics.GetOrCreateCounter(fmt.Sprintf(`magnoliausher_responses_rejected_total{reason=%q}`, reason)).Inc()
}

// JobCommitResolved counts commits of job rows that conflicted or got no response, by
// what the row that was read afterwards showed.
func JobCommitResolved(outcome string) {
	metrics.GetOrCreateCounter(fmt.Sprintf(`magnoliausher_job_commits_resolved_total{outcome=%q}`, outcome)).Inc()
}

// HandoverOffered counts jobs that a gateway which shuts down offered, by the answer.
func HandoverOffered(answer string) {
	metrics.GetOrCreateCounter(fmt.Sprintf(`magnoliausher_job_handovers_offered_total{answer=%q}`, answer)).Inc()
}

// ReportsReceived counts datagrams from other gateways and their bytes. The label
// "from" has the values of "to" in ReportsSent.
func ReportsReceived(from string, bytes int) {
	metrics.GetOrCreateCounter(fmt.Sprintf(`magnoliausher_reports_received_total{from=%q}`, from)).Inc()
	metrics.GetOrCreateCounter(fmt.Sprintf(`magnoliausher_report_bytes_received_total{from=%q}`, from)).Add(bytes)
}

// ReportsName is the name of the counter of datagrams between gateways. The label
// "to" says whether the receiver is in the same data centre ("near") or in
// another one ("far").
const ReportsName = "magnoliausher_reports_sent_total"

// ReportsSent counts datagrams to other gateways and their bytes.
func ReportsSent(to string, datagrams, bytes int) {
	metrics.GetOrCreateCounter(fmt.Sprintf(`%s{to=%q}`, ReportsName, to)).Add(datagrams)
	metrics.GetOrCreateCounter(fmt.Sprintf(`magnoliausher_report_bytes_sent_total{to=%q}`, to)).Add(bytes)
}

// CrashChecked counts checks whether an upstream that broke answers has crashed, by
// whether it still accepts connections.
func CrashChecked(accepts bool) {
	metrics.GetOrCreateCounter(fmt.Sprintf(`magnoliausher_crash_checks_total{accepts="%t"}`, accepts)).Inc()
}

// RateLimited counts requests of organisations with a rate limit: "admitted", "refused",
// and "returned" for admitted ones that did not run and gave their token back.
func RateLimited(result string) {
	metrics.GetOrCreateCounter(fmt.Sprintf(`magnoliausher_rate_limited_requests_total{result=%q}`, result)).Inc()
}

// RateLimitWaited counts requests of organisations with a rate limit that waited because
// this process had just started: "admitted", "refused", "ended" for those that ended with
// their caller or in a shutdown, and "full" for those that did not wait since too many did.
func RateLimitWaited(result string) {
	metrics.GetOrCreateCounter(fmt.Sprintf(`magnoliausher_rate_limit_waits_total{result=%q}`, result)).Inc()
}

// StartAllowanceAdded counts starts of this process together with its peers, after which
// rate limits begin with the starting allowance: 0 or 1.
func StartAllowanceAdded() {
	metrics.GetOrCreateCounter("magnoliausher_rate_limit_start_allowances_total").Inc()
}

// SuspectRejected counts requests rejected because they, or a part of their prompt,
// crash upstreams.
func SuspectRejected() { metrics.GetOrCreateCounter("magnoliausher_suspects_rejected_total").Inc() }

// TrialStarted counts requests sent to test whether a block is right.
func TrialStarted() { metrics.GetOrCreateCounter("magnoliausher_suspect_trials_total").Inc() }

// SuspectChanged counts requests and parts of prompts that were blocked or released, by
// the evidence: a crash, a peer, an expiry or an answer.
func SuspectChanged(blocked bool, evidence string) {
	metrics.GetOrCreateCounter(fmt.Sprintf(`magnoliausher_suspect_changes_total{blocked="%t",evidence=%q}`, blocked, evidence)).Inc()
}

// BodyDropped counts a request body that was dropped because it arrived too slowly while
// memory was needed.
func BodyDropped() { metrics.GetOrCreateCounter("magnoliausher_bodies_dropped_total").Inc() }

// ConnectionClosed counts a client's connection that was closed by the reason.
func ConnectionClosed(listener, reason string) {
	metrics.GetOrCreateCounter(fmt.Sprintf(`magnoliausher_connections_closed_total{listener=%q,reason=%q}`, listener, reason)).Inc()
}

// RequestOfClosedConnection counts a request that was read although its connection had
// been closed to stay within limits, by what became of it.
func RequestOfClosedConnection(listener, outcome string) {
	metrics.GetOrCreateCounter(fmt.Sprintf(`magnoliausher_requests_of_closed_connections_total{listener=%q,outcome=%q}`, listener, outcome)).Inc()
}

// RecoveryBegan counts starts of this process without knowledge of other gateways' load.
func RecoveryBegan() {
	metrics.GetOrCreateCounter("magnoliausher_recoveries_total").Inc()
	recovering().Set(1)
}

// RecoveryEnded records for how many seconds such a start limited what this process starts.
func RecoveryEnded(seconds float64) {
	metrics.GetOrCreateHistogram("magnoliausher_recovery_seconds").Update(seconds)
	recovering().Set(0)
}

func recovering() *metrics.Gauge { return metrics.GetOrCreateGauge("magnoliausher_recovering", nil) }

func upstreamSpeedName(service, upstream string) string {
	return fmt.Sprintf(`magnoliausher_upstream_speed{service=%q,upstream=%q}`, service, upstream)
}

// SetUpstreamSpeed sets the speed of an upstream relative to the mean of its service.
func SetUpstreamSpeed(service, upstream string, speed float64) {
	metrics.GetOrCreateGauge(upstreamSpeedName(service, upstream), nil).Set(speed)
}

// DropUpstreamSpeed removes the speed of an upstream that is no longer listed.
func DropUpstreamSpeed(service, upstream string) {
	metrics.UnregisterMetric(upstreamSpeedName(service, upstream))
}

// StreamOrigin counts streams taken up by callers, by how the software version that began
// them was found: own, peer, only, agreed, saved, doubtful or unknown.
func StreamOrigin(source string) {
	metrics.GetOrCreateCounter(fmt.Sprintf(`magnoliausher_stream_origins_total{source=%q}`, source)).Inc()
}
