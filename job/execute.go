package job

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"io"
	"math"
	"net/http"
	"strings"
	"time"

	"github.com/magnoliausher/magnoliausher/admission"
	"github.com/magnoliausher/magnoliausher/attempt"
	"github.com/magnoliausher/magnoliausher/contract"
	"github.com/magnoliausher/magnoliausher/link"
	"github.com/magnoliausher/magnoliausher/memory"
	"github.com/magnoliausher/magnoliausher/metric"
	rpc "github.com/magnoliausher/magnoliausher/rpc/magnoliausher/v1"
)

// ticketValidity is the time within which an agent may pass an attempt to its upstream.
const ticketValidity = 10 * time.Second

// Estimates of token counts. defaultOutputTokens applies to requests without a limit.
const (
	bytesPerToken       = 4
	defaultOutputTokens = 256
)

// finishReasonLength is the OpenAI finish reason of a response that reached its
// token limit.
const finishReasonLength = "length"

// execute runs one attempt of an item on an agent.
func (r *Runner) execute(ctx context.Context, h *heldChunk, it *item, agentID string) {
	defer r.releaseItem(h, it)
	o := outcome{kind: outcomeNotSent, attempt: attempt.NewID()}
	if req := r.newRequest(h, it, agentID, o.attempt); req != nil {
		o = r.runAttempt(ctx, h, agentID, req)
	}
	r.applyOutcome(h, it, o)
}

// newRequest builds the attempt's request, or returns nil if the agent is not connected.
func (r *Runner) newRequest(h *heldChunk, it *item, agentID string, id attempt.ID) *rpc.RunRequest {
	now := time.Now()
	up := findUpstream(r.cfg.Links.Upstreams(h.service), agentID)
	if up == nil {
		return nil
	}
	return &rpc.RunRequest{
		AttemptId: string(id),
		Ticket: &rpc.Ticket{
			AgentIncarnation: up.Incarnation,
			NotAfterMs:       uint64((up.AgentTime(now) + ticketValidity).Milliseconds()),
		},
		Caller: h.job.Caller, Service: h.service, Class: rpc.Class_CLASS_BATCH,
		Repeatable: it.repeatable, DeadlineMs: clampMS(h.job.Deadline.Sub(now)),
		ConfigVersion: r.cfg.Contract.Version(), Method: it.Method, Path: h.path,
		Headers: []*rpc.Header{{Name: "Content-Type", Value: "application/json"}}, Body: it.Body,
		PromptTokens: uint32(len(it.Body) / bytesPerToken), OutputTokens: it.outputTokens,
		DeliveredTokens: uint32(it.deliveredTokens), DeliveredText: string(it.deliveredText), JobId: h.job.ID,
	}
}

func findUpstream(list []link.Upstream, agentID string) *link.Upstream {
	for i := range list {
		if list[i].AgentID == agentID && list[i].Connected {
			return &list[i]
		}
	}
	return nil
}

func clampMS(d time.Duration) uint32 {
	return uint32(min(max(d.Milliseconds(), 1), math.MaxUint32))
}

func outputTokens(body []byte) uint32 {
	if n := tokenLimit(body); n > 0 {
		return n
	}
	return defaultOutputTokens
}

// tokenLimit returns the output token limit of a request, or 0.
func tokenLimit(body []byte) uint32 {
	var b struct {
		MaxTokens           uint32 `json:"max_tokens"`
		MaxCompletionTokens uint32 `json:"max_completion_tokens"`
	}
	_ = json.Unmarshal(body, &b) // bodies of plain services have any format
	return max(b.MaxTokens, b.MaxCompletionTokens)
}

// runAttempt sends the request and reads its events to the end.
func (r *Runner) runAttempt(ctx context.Context, h *heldChunk, agentID string, req *rpc.RunRequest) outcome {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	stream, err := r.cfg.Links.Run(ctx, agentID, req)
	if errors.Is(err, link.ErrNoLink) {
		return outcome{kind: outcomeNotSent, attempt: attempt.ID(req.AttemptId)}
	}
	c := attemptCollector{req: req, engine: h.target.Kind == contract.KindEngine, share: r.cfg.Answers.Share()}
	defer c.share.Release()
	if err == nil {
		err = c.read(stream)
		_ = stream.Close() // the attempt has ended or is abandoned
	}
	return c.outcome(ctx, err)
}

// attemptCollector accumulates the events of one attempt.
type attemptCollector struct {
	req        *rpc.RunRequest
	engine     bool
	status     int
	text       strings.Builder
	tokens     int
	data       bytes.Buffer
	lastEvent  *rpc.RunEvent // end, refused or failed
	handedOver bool          // the agent has accepted the attempt or sent a part of the answer
	share      *memory.Share // of the text and the data
}

// maxAnswerBytes limits the answer to one item. The longest hold a few thousand tokens.
const maxAnswerBytes = 4 << 20

var errAnswerTooLong = errors.New("the answer exceeds the maximum size")

// read receives events up to the attempt's final event. Events of other attempts
// are ignored.
func (c *attemptCollector) read(stream link.Stream) error {
	for {
		event, err := stream.Recv()
		if err != nil {
			return err
		}
		if event.AttemptId != c.req.AttemptId {
			continue
		}
		switch e := event.Event.(type) {
		case *rpc.RunEvent_Accepted:
			c.handedOver = true
		case *rpc.RunEvent_Head:
			c.handedOver = true
			c.status = int(e.Head.Status)
		case *rpc.RunEvent_Delta:
			c.handedOver = true
			c.text.WriteString(e.Delta.Text)
			c.tokens += int(e.Delta.Tokens)
			err = c.checkSize()
		case *rpc.RunEvent_Data:
			c.handedOver = true
			c.data.Write(e.Data)
			err = c.checkSize()
		case *rpc.RunEvent_End, *rpc.RunEvent_Refused, *rpc.RunEvent_Failed:
			c.lastEvent = event
			return nil
		}
		if err != nil {
			c.text, c.tokens, c.data = strings.Builder{}, 0, bytes.Buffer{} // nothing to resume from
			return err
		}
	}
}

// checkSize returns an error once the answer is too long to be kept.
func (c *attemptCollector) checkSize() error {
	size := c.text.Len() + c.data.Len()
	if size > maxAnswerBytes {
		return errAnswerTooLong
	}
	return c.share.Resize(size)
}

// outcome returns how the attempt ended; err is the connection error, if any.
func (c *attemptCollector) outcome(ctx context.Context, err error) outcome {
	o := outcome{
		kind: outcomeFailed, attempt: attempt.ID(c.req.AttemptId), executed: attempt.ExecutedUnknown,
		text: c.text.String(), tokens: c.tokens,
	}
	if c.reachedTokenLimit() {
		o.kind = outcomeAnswered
		o.status, o.body = c.response(c.lengthEnd())
		return o
	}
	switch {
	case err != nil && ctx.Err() != nil: // this entry stopped the attempt
		o.kind = outcomePreempted
		return o
	case errors.Is(err, io.EOF):
		o.reason = "the answer ended early"
		return o
	case errors.Is(err, errAnswerTooLong), errors.Is(err, memory.ErrExhausted):
		o.reason = err.Error()
		return o
	case err != nil:
		o.reason = "the connection to the agent failed"
		return o
	}
	switch e := c.lastEvent.Event.(type) {
	case *rpc.RunEvent_Refused:
		o.reason = e.Refused.Reason
		if !c.handedOver && !admission.Reason(o.reason).ProvesNothing() {
			o.kind = outcomeRefused
		}
	case *rpc.RunEvent_Failed:
		o.reason = e.Failed.Reason
		o.executed = executedOf(e.Failed.Executed)
		o.crashed = e.Failed.UpstreamCrashed
		if e.Failed.Preempted {
			o.kind = outcomePreempted
		}
	case *rpc.RunEvent_End:
		o.kind = outcomeAnswered
		o.status, o.body = c.response(e.End)
	}
	return o
}

// reachedTokenLimit reports whether the token limit was reached but the end event
// is missing. Such an attempt can't be resumed, because engines refuse a request
// with no tokens left to generate.
func (c *attemptCollector) reachedTokenLimit() bool {
	if _, ended := c.lastEvent.GetEvent().(*rpc.RunEvent_End); ended || !c.engine || c.status >= http.StatusBadRequest {
		return false
	}
	limit := tokenLimit(c.req.Body)
	return limit > 0 && c.outputTokens() >= limit
}

func (c *attemptCollector) outputTokens() uint32 { return c.req.DeliveredTokens + uint32(c.tokens) }

func (c *attemptCollector) lengthEnd() *rpc.End {
	return &rpc.End{FinishReason: finishReasonLength, PromptTokens: c.req.PromptTokens, OutputTokens: c.outputTokens()}
}

func executedOf(e rpc.Executed) attempt.Executed {
	switch e {
	case rpc.Executed_EXECUTED_NO:
		return attempt.ExecutedNo
	case rpc.Executed_EXECUTED_YES:
		return attempt.ExecutedYes
	}
	return attempt.ExecutedUnknown
}

// response returns the status and body. Generated text is encoded as the
// endpoint's OpenAI object.
func (c *attemptCollector) response(end *rpc.End) (int, []byte) {
	status := c.status
	if status == 0 {
		status = http.StatusOK
	}
	if !c.engine || !succeeded(status) {
		return status, c.data.Bytes()
	}
	return status, completionBody(c.req, c.req.DeliveredText+c.text.String(), end)
}

// applyOutcome updates the item after an attempt.
func (r *Runner) applyOutcome(h *heldChunk, it *item, o outcome) {
	r.mu.Lock()
	v := decide(it.attempts, it.repeatable, o)
	if h.dropped {
		r.mu.Unlock()
		return
	}
	r.updateBytes(h, it, func() {
		if v.keepOutput && o.tokens > 0 {
			it.deliveredText = append(it.deliveredText, o.text...)
			it.deliveredTokens += o.tokens
		}
		if v.countsAttempt {
			it.attempts++
		}
		if v.countsCrash {
			it.crashes++
			r.delayItem(h, it, crashDelay(it.crashes))
		}
	})
	r.mu.Unlock()
	switch {
	case v.retry:
		metric.Retried(h.service, string(contract.ClassBatch), retryReason(o.kind))
	case v.code != "":
		countItem(h.service, v.code)
		r.finishItem(h, it, errorLine(it.CustomID, string(o.attempt), v.code, finalMessage(v.code, o.reason)), true)
	default:
		countItem(h.service, "answered")
		r.finishItem(h, it, responseLine(it.CustomID, string(o.attempt), o.status, o.body), !succeeded(o.status))
	}
}

func retryReason(k outcomeKind) string {
	return [...]string{"status", "not_sent", "refused", "preempted", "failed"}[k]
}

func finalMessage(code, reason string) string {
	switch code {
	case codeUnknown:
		return "the call may have had an effect and must not be repeated: " + reason
	}
	return "no attempt succeeded; the last one ended with: " + reason
}
