package entry

import (
	"context"
	"encoding/json"
	"errors"
	"net/http"
	"time"

	"github.com/magnoliausher/magnoliausher/apierror"
	"github.com/magnoliausher/magnoliausher/attempt"
	"github.com/magnoliausher/magnoliausher/contract"
	"github.com/magnoliausher/magnoliausher/metric"
	rpc "github.com/magnoliausher/magnoliausher/rpc/magnoliausher/v1"
)

// serveGeneration serves both generation endpoints.
func (e *Entry) serveGeneration(w http.ResponseWriter, r *http.Request, rq *request, f format) *apierror.Error {
	if r.Method != http.MethodPost {
		return methodNotAllowed(w, "POST")
	}
	if fail := e.authenticate(rq, r); fail != nil {
		return fail
	}
	if fail := allow(rq.caller, contract.ClassOnline); fail != nil {
		return fail
	}
	releaseCaller, fail := e.admitCaller(rq)
	if fail != nil {
		return fail
	}
	defer releaseCaller()
	g, fail := e.readGeneration(w, r, rq, f)
	if fail != nil {
		return fail
	}
	ctx, cancel := context.WithDeadline(r.Context(), rq.deadline)
	defer cancel()
	releaseService, fail := e.enterService(ctx, rq)
	if fail != nil {
		return fail
	}
	defer releaseService()
	answer := newAnswer(rq, g, f, w, e.config.WriteTimeout)
	var out generationSink = &wholeSink{answer: answer, limit: e.config.MaxResponseBytes}
	if g.Stream {
		out = &streamSink{answer: answer, limit: e.config.MaxResponseBytes}
	}
	end, fail := e.dispatch(ctx, rq, out)
	if fail != nil {
		return e.failGeneration(rq, out, fail)
	}
	out.finish(end)
	return nil
}

// failGeneration reports a failure inside a stream that has begun, or returns
// it to be answered as a whole.
func (e *Entry) failGeneration(rq *request, out generationSink, fail *apierror.Error) *apierror.Error {
	if !out.begun() {
		return fail
	}
	e.countRefusal(rq, fail)
	out.abort(fail)
	return nil
}

// bytesPerToken estimates prompt tokens from a body.
const bytesPerToken = 4

// readGeneration reads and checks the body, and completes the request with it.
func (e *Entry) readGeneration(w http.ResponseWriter, r *http.Request, rq *request, f format) (*generation, *apierror.Error) {
	body, fail := e.readBody(w, r)
	if fail != nil {
		return nil, fail
	}
	g, fail := parseGeneration(f, body)
	if fail != nil {
		return nil, fail
	}
	rq.service = e.config.Holder.Current().ServiceForModel(g.Model)
	if rq.service == nil {
		return nil, unknownModel(g.Model)
	}
	if fail := e.setDeadline(rq, r); fail != nil {
		return nil, fail
	}
	rq.path = r.URL.Path
	rq.body = body
	rq.header = []*rpc.Header{{Name: "Content-Type", Value: "application/json"}, {Name: requestIDHeader, Value: rq.id}}
	rq.fingerprint = attempt.Fingerprint(rq.caller.ID, rq.service.Name, body)
	rq.promptTokens = uint32(len(body)/bytesPerToken) + 1
	if e.config.ParsePrompt != nil {
		prefix, tokens := e.config.ParsePrompt(body)
		rq.prefix = prefix
		rq.promptTokens = uint32(max(tokens, 0))
	}
	rq.outputTokens = g.outputTokens()
	return g, nil
}

// generationSink answers a generation request.
type generationSink interface {
	sink
	begun() bool               // the answer's status has been sent
	finish(end *rpc.End)       // after a whole attempt, or with nil after an engine's client error
	abort(err *apierror.Error) // ends an answer that has begun
}

// answer holds what the two forms of answers have in common.
type answer struct {
	rq           *request
	format       format
	id           string
	model        string
	created      int64
	includeUsage bool
	writer       *timedWriter
	engine       engineAnswer
}

func newAnswer(rq *request, g *generation, f format, w http.ResponseWriter, timeout time.Duration) *answer {
	prefix := "chatcmpl-"
	if f == completionFormat {
		prefix = "cmpl-"
	}
	return &answer{
		rq: rq, format: f, id: prefix + newRequestID(), model: g.Model, created: rq.arrived.Unix(),
		includeUsage: g.StreamOptions != nil && g.StreamOptions.IncludeUsage,
		writer:       newTimedWriter(w, timeout),
	}
}

// engineAnswer is an error answer of the engine itself, such as 400 for a
// prompt that is too long.
type engineAnswer struct {
	status      int
	contentType string
	body        []byte
}

// maxEngineError bounds an engine's error body.
const maxEngineError = 64 << 10

// head starts to keep an engine's error, in place of an earlier attempt's.
func (a *answer) head(h *rpc.Head) error {
	a.engine.status = int(h.GetStatus())
	a.engine.contentType = headerValue(h, "Content-Type")
	a.engine.body = a.engine.body[:0]
	return nil
}

func headerValue(h *rpc.Head, name string) string {
	for _, x := range h.GetHeaders() {
		if http.CanonicalHeaderKey(x.Name) == name {
			return x.Value
		}
	}
	return "application/json"
}

func (a *answer) data(b []byte) error {
	if len(a.engine.body)+len(b) <= maxEngineError {
		a.engine.body = append(a.engine.body, b...)
	}
	return nil
}

// finishEngine sends the engine's own error.
func (a *answer) finishEngine() {
	h := a.writer.w.Header()
	h.Set("Content-Type", a.engine.contentType)
	h.Set(apierror.ExecutedHeader, string(a.rq.executed()))
	a.writer.w.WriteHeader(a.engine.status)
	_ = a.writer.write(a.engine.body) // the caller may be gone
	metric.Refused("entry", a.rq.service.Name, classOnline, codeUpstreamAnswer)
}

var errAnswerTooLarge = errors.New("the answer is larger than an instance may hold")

// resumable is true because engines go on after the delivered text.
func (a *answer) resumable() bool { return true }

// tooLarge bounds the text that is kept for resuming.
func (a *answer) tooLarge(limit int, d *rpc.Delta) bool {
	return a.rq.delivered.Len()+len(d.Text) > limit
}

// usage is the token count of an answer.
type usage struct {
	PromptTokens     uint32 `json:"prompt_tokens"`
	CompletionTokens uint32 `json:"completion_tokens"`
	TotalTokens      uint32 `json:"total_tokens"`
}

func usageOf(end *rpc.End) usage {
	return usage{
		PromptTokens:     end.PromptTokens,
		CompletionTokens: end.OutputTokens,
		TotalTokens:      end.PromptTokens + end.OutputTokens,
	}
}

// finishReason defaults to stop for an engine that gave none.
func finishReason(end *rpc.End) string {
	if end.FinishReason == "" {
		return "stop"
	}
	return end.FinishReason
}

// The whole answers of both endpoints, as in the OpenAI API.
type wholeChat struct {
	ID      string       `json:"id"`
	Object  string       `json:"object"`
	Created int64        `json:"created"`
	Model   string       `json:"model"`
	Choices []chatChoice `json:"choices"`
	Usage   usage        `json:"usage"`
}

type chatChoice struct {
	Index        int         `json:"index"`
	Message      chatMessage `json:"message"`
	Logprobs     *struct{}   `json:"logprobs"`
	FinishReason string      `json:"finish_reason"`
}

type chatMessage struct {
	Role    string  `json:"role"`
	Content string  `json:"content"`
	Refusal *string `json:"refusal"`
}

type wholeCompletion struct {
	ID      string             `json:"id"`
	Object  string             `json:"object"`
	Created int64              `json:"created"`
	Model   string             `json:"model"`
	Choices []completionChoice `json:"choices"`
	Usage   usage              `json:"usage"`
}

type completionChoice struct {
	Text         string    `json:"text"`
	Index        int       `json:"index"`
	Logprobs     *struct{} `json:"logprobs"`
	FinishReason string    `json:"finish_reason"`
}

// wholeSink collects the text and answers once.
type wholeSink struct {
	*answer
	limit int
}

func (s *wholeSink) begun() bool               { return false }
func (s *wholeSink) abort(err *apierror.Error) {}

func (s *wholeSink) text(d *rpc.Delta) error {
	if s.tooLarge(s.limit, d) {
		return errAnswerTooLarge
	}
	return nil // the request keeps the delivered text
}

func (s *wholeSink) finish(end *rpc.End) {
	if end == nil {
		s.finishEngine()
		return
	}
	text := s.rq.delivered.String()
	var body any
	if s.format == chatFormat {
		body = wholeChat{
			ID: s.id, Object: "chat.completion", Created: s.created, Model: s.model, Usage: usageOf(end),
			Choices: []chatChoice{{Message: chatMessage{Role: "assistant", Content: text}, FinishReason: finishReason(end)}},
		}
	} else {
		body = wholeCompletion{
			ID: s.id, Object: "text_completion", Created: s.created, Model: s.model, Usage: usageOf(end),
			Choices: []completionChoice{{Text: text, FinishReason: finishReason(end)}},
		}
	}
	encoded, err := json.Marshal(body)
	if err != nil { // only strings and numbers inside
		panic(err)
	}
	s.writer.w.Header().Set("Content-Type", "application/json")
	_ = s.writer.write(append(encoded, '\n')) // the caller may be gone
}
