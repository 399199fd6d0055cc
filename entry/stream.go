package entry

import (
	"encoding/json"
	"net/http"
	"strconv"
	"time"

	"github.com/magnoliausher/magnoliausher/apierror"
	rpc "github.com/magnoliausher/magnoliausher/rpc/magnoliausher/v1"
)

// deadlineWriter writes with a deadline, so that a caller that does not read cannot
// occupy an upstream.
type deadlineWriter struct {
	w         http.ResponseWriter
	rc        *http.ResponseController
	timeout   time.Duration
	renewedAt time.Time // when the deadline was last set
}

func newDeadlineWriter(w http.ResponseWriter, timeout time.Duration) *deadlineWriter {
	return &deadlineWriter{w: w, rc: http.NewResponseController(w), timeout: timeout}
}

// renewalsPerTimeout bounds how often the deadline is set within one timeout, which
// saves a timer operation per token.
const renewalsPerTimeout = 10

func (t *deadlineWriter) write(b []byte) error {
	now := time.Now()
	if now.Sub(t.renewedAt) >= t.timeout/renewalsPerTimeout {
		_ = t.rc.SetWriteDeadline(now.Add(t.timeout)) // not supported by every writer
		t.renewedAt = now
	}
	_, err := t.w.Write(b)
	return err
}

func (t *deadlineWriter) flush() error { return t.rc.Flush() }

// streamSink responds with server-sent events.
type streamSink struct {
	*generationResponse
	limit       int
	headerSent  bool
	chunkPrefix []byte // of each text chunk, before the text
	chunkSuffix []byte
	buffer      []byte
}

func (s *streamSink) started() bool { return s.headerSent }

// text sends one chunk.
func (s *streamSink) text(d *rpc.Delta) error {
	if s.exceeds(s.limit, d) {
		return errResponseTooLarge
	}
	if err := s.sendHeader(); err != nil {
		return err
	}
	s.buffer = s.appendTextChunk(s.buffer[:0], d.Text)
	return s.flushBuffer()
}

// flushBuffer writes and flushes the buffer.
func (s *streamSink) flushBuffer() error {
	if s.writer.write(s.buffer) != nil || s.writer.flush() != nil {
		return errCallerGone
	}
	return nil
}

// sendHeader sends the status and, for chats, the chunk with the role.
func (s *streamSink) sendHeader() error {
	if s.headerSent {
		return nil
	}
	s.headerSent = true
	h := s.writer.w.Header()
	h.Set("Content-Type", "text/event-stream; charset=utf-8")
	h.Set("Cache-Control", "no-cache")
	h.Set("X-Accel-Buffering", "no") // disables buffering in load balancers
	s.prepareChunk()
	if s.format == completionFormat {
		return nil
	}
	s.buffer = s.appendChunk(s.buffer[:0], `{"index":0,"delta":{"role":"assistant","content":"","refusal":null},"logprobs":null,"finish_reason":null}`)
	return s.flushBuffer()
}

// prepareChunk builds the constant parts of a text chunk.
func (s *streamSink) prepareChunk() {
	s.chunkPrefix = s.appendEventStart(nil)
	if s.format == chatFormat {
		s.chunkPrefix = append(s.chunkPrefix, `{"index":0,"delta":{"content":`...)
		s.chunkSuffix = append(s.chunkSuffix, `},"logprobs":null,"finish_reason":null}`...)
	} else {
		s.chunkPrefix = append(s.chunkPrefix, `{"index":0,"text":`...)
		s.chunkSuffix = append(s.chunkSuffix, `,"logprobs":null,"finish_reason":null}`...)
	}
	s.chunkSuffix = s.appendEventEnd(s.chunkSuffix)
}

// appendEventStart starts an event, up to its list of choices.
func (s *streamSink) appendEventStart(b []byte) []byte {
	object := "chat.completion.chunk"
	if s.format == completionFormat {
		object = "text_completion"
	}
	b = append(b, `data: {"id":"`...)
	b = append(b, s.id...)
	b = append(b, `","object":"`...)
	b = append(b, object...)
	b = append(b, `","created":`...)
	b = strconv.AppendInt(b, s.created, 10)
	b = append(b, `,"model":`...)
	b = appendJSONString(b, s.model)
	return append(b, `,"choices":[`...)
}

// appendEventEnd ends an event after its choices. With include_usage, every chunk but
// the last has a null usage.
func (s *streamSink) appendEventEnd(b []byte) []byte {
	if s.includeUsage {
		return append(b, `],"usage":null}`+"\n\n"...)
	}
	return append(b, `]}`+"\n\n"...)
}

func (s *streamSink) appendChunk(b []byte, choice string) []byte {
	b = s.appendEventStart(b)
	b = append(b, choice...)
	return s.appendEventEnd(b)
}

func (s *streamSink) appendTextChunk(b []byte, text string) []byte {
	b = append(b, s.chunkPrefix...)
	b = appendJSONString(b, text)
	return append(b, s.chunkSuffix...)
}

// appendJSONString appends the text as a JSON string.
func appendJSONString(b []byte, text string) []byte {
	if needsNoEscape(text) {
		b = append(b, '"')
		b = append(b, text...)
		return append(b, '"')
	}
	encoded, err := json.Marshal(text)
	if err != nil { // cannot happen: strings always encode
		panic(err)
	}
	return append(b, encoded...)
}

// needsNoEscape reports whether the text can be written to JSON unchanged.
func needsNoEscape(text string) bool {
	for i := 0; i < len(text); i++ {
		c := text[i]
		if c < ' ' || c > '~' || c == '"' || c == '\\' {
			return false
		}
	}
	return true
}

// finish sends the finish reason, the usage if requested, and the end marker.
func (s *streamSink) finish(end *rpc.End) {
	if end == nil && s.headerSent {
		s.abort(s.rq.resumeRefused())
		return
	}
	if end == nil {
		s.sendEngineError()
		return
	}
	if s.sendHeader() != nil {
		return
	}
	reason := string(appendJSONString(nil, finishReason(end)))
	choice := `{"index":0,"delta":{},"logprobs":null,"finish_reason":` + reason + `}`
	if s.format == completionFormat {
		choice = `{"index":0,"text":"","logprobs":null,"finish_reason":` + reason + `}`
	}
	s.buffer = s.appendChunk(s.buffer[:0], choice)
	if s.includeUsage {
		s.buffer = s.appendUsage(s.buffer, end)
	}
	s.buffer = append(s.buffer, "data: [DONE]\n\n"...)
	_ = s.flushBuffer() // the caller may have disconnected
}

// appendUsage appends the event that reports the token usage, whose list of choices
// is empty. It is sent only if the caller asked for it.
func (s *streamSink) appendUsage(b []byte, end *rpc.End) []byte {
	encoded, err := json.Marshal(usageOf(end))
	if err != nil { // cannot happen: only numbers
		panic(err)
	}
	b = s.appendEventStart(b)
	b = append(b, `],"usage":`...)
	b = append(b, encoded...)
	return append(b, "}\n\n"...)
}

// abort sends an error event. Without the end marker, clients do not take the stream
// for a complete response.
func (s *streamSink) abort(err *apierror.Error) {
	s.buffer = append(s.buffer[:0], "event: error\ndata: "...)
	s.buffer = append(s.buffer, err.JSON()...)
	s.buffer = append(s.buffer, "\n\n"...)
	_ = s.flushBuffer() // the caller may have disconnected
}
