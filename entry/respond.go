package entry

import (
	"context"
	"encoding/json"
	"errors"
	"net/http"
	"strconv"
	"time"

	"github.com/magnoliausher/magnoliausher/apierror"
	"github.com/magnoliausher/magnoliausher/attempt"
	"github.com/magnoliausher/magnoliausher/contract"
	"github.com/magnoliausher/magnoliausher/metric"
	"github.com/magnoliausher/magnoliausher/poison"
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
	if fail := checkClass(rq.caller, contract.ClassOnline); fail != nil {
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
	releaseService, fail := e.acquireService(ctx, rq)
	if fail != nil {
		return fail
	}
	defer releaseService()
	response := newGenerationResponse(rq, g, f, w, e.config.WriteTimeout)
	var out generationSink = &bufferedSink{generationResponse: response, limit: e.config.MaxResponseBytes}
	if g.Stream {
		out = &streamSink{generationResponse: response, limit: e.config.MaxResponseBytes}
	}
	end, fail := e.dispatch(ctx, rq, out)
	if fail != nil {
		return e.failGeneration(rq, out, fail)
	}
	out.finish(end)
	return nil
}

// failGeneration sends the error within a stream that has begun, or returns the error
// to respond with.
func (e *Entry) failGeneration(rq *request, out generationSink, fail *apierror.Error) *apierror.Error {
	if !out.started() {
		return fail
	}
	e.countRefusal(rq, fail)
	out.abort(fail)
	return nil
}

// bytesPerToken is used to estimate prompt tokens from the body size.
const bytesPerToken = 4

// readGeneration reads and validates the body, and sets the fields of the request that
// depend on it.
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
		prefix, tokens, parts := e.config.ParsePrompt(body)
		rq.prefix = prefix
		for _, hash := range parts {
			rq.parts = append(rq.parts, poison.NewPart(rq.service.Name, strconv.FormatUint(hash, 16)).Fingerprint)
		}
		rq.promptTokens = uint32(max(tokens, 0))
	}
	rq.outputTokens = g.outputTokens()
	return g, nil
}

// generationSink writes the response to a generation request.
type generationSink interface {
	sink
	started() bool             // the status has been sent
	finish(end *rpc.End)       // called after a complete attempt, or with nil after an engine's client error
	abort(err *apierror.Error) // ends a response that has begun
}

// generationResponse holds the state common to buffered and streamed responses.
type generationResponse struct {
	rq           *request
	format       format
	id           string
	model        string
	created      int64
	includeUsage bool
	writer       *deadlineWriter
	engineError  engineErrorResponse
}

func newGenerationResponse(rq *request, g *generation, f format, w http.ResponseWriter, timeout time.Duration) *generationResponse {
	prefix := "chatcmpl-"
	if f == completionFormat {
		prefix = "cmpl-"
	}
	return &generationResponse{
		rq: rq, format: f, id: prefix + newRequestID(), model: g.Model, created: rq.arrivedAt.Unix(),
		includeUsage: g.StreamOptions != nil && g.StreamOptions.IncludeUsage,
		writer:       newDeadlineWriter(w, timeout),
	}
}

// engineErrorResponse is an error response of the engine itself, such as 400 for a
// prompt that is too long.
type engineErrorResponse struct {
	status      int
	contentType string
	body        []byte
}

// maxEngineErrorBytes bounds an engine's error body.
const maxEngineErrorBytes = 64 << 10

// head starts to store an engine's error and discards that of an earlier attempt.
func (a *generationResponse) head(h *rpc.Head) error {
	a.engineError.status = int(h.GetStatus())
	a.engineError.contentType = headerValue(h, "Content-Type")
	a.engineError.body = a.engineError.body[:0]
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

func (a *generationResponse) data(b []byte) error {
	if len(a.engineError.body)+len(b) <= maxEngineErrorBytes {
		a.engineError.body = append(a.engineError.body, b...)
	}
	return nil
}

// sendEngineError sends the engine's own error. Its status promises nothing if an earlier
// attempt may have run.
func (a *generationResponse) sendEngineError() {
	h := a.writer.w.Header()
	h.Set("Content-Type", a.engineError.contentType)
	executed := a.rq.executed()
	h.Set(apierror.ExecutedHeader, string(executed))
	a.writer.w.WriteHeader(executed.Outcome().Status(a.engineError.status))
	_ = a.writer.write(a.engineError.body) // the caller may have disconnected
	metric.Refused("entry", a.rq.service.Name, classOnline, codeUpstreamError)
}

var errResponseTooLarge = errors.New("the answer is larger than an instance may hold")

// resumable is true because engines can continue after the delivered text.
func (a *generationResponse) resumable() bool { return true }

// exceeds reports whether the text stored for resuming would exceed the limit.
func (a *generationResponse) exceeds(limit int, d *rpc.Delta) bool {
	return a.rq.deliveredText.Len()+len(d.Text) > limit
}

// usage holds the token counts of a response.
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

// finishReason returns the finish reason of the engine, or "stop" if it gave none.
func finishReason(end *rpc.End) string {
	if end.FinishReason == "" {
		return "stop"
	}
	return end.FinishReason
}

// Bodies of non-streamed responses of both endpoints, as in the OpenAI API.
type chatCompletion struct {
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

type textCompletion struct {
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

// bufferedSink collects the text and sends one response.
type bufferedSink struct {
	*generationResponse
	limit int
}

func (s *bufferedSink) started() bool             { return false }
func (s *bufferedSink) abort(err *apierror.Error) {}

func (s *bufferedSink) text(d *rpc.Delta) error {
	if s.exceeds(s.limit, d) {
		return errResponseTooLarge
	}
	return nil // the request stores the delivered text
}

func (s *bufferedSink) finish(end *rpc.End) {
	if end == nil {
		s.sendEngineError()
		return
	}
	text := s.rq.deliveredText.String()
	var body any
	if s.format == chatFormat {
		body = chatCompletion{
			ID: s.id, Object: "chat.completion", Created: s.created, Model: s.model, Usage: usageOf(end),
			Choices: []chatChoice{{Message: chatMessage{Role: "assistant", Content: text}, FinishReason: finishReason(end)}},
		}
	} else {
		body = textCompletion{
			ID: s.id, Object: "text_completion", Created: s.created, Model: s.model, Usage: usageOf(end),
			Choices: []completionChoice{{Text: text, FinishReason: finishReason(end)}},
		}
	}
	encoded, err := json.Marshal(body)
	if err != nil { // cannot happen: only strings and numbers
		panic(err)
	}
	s.writer.w.Header().Set("Content-Type", "application/json")
	_ = s.writer.write(append(encoded, '\n')) // the caller may have disconnected
}
