package entry

import (
	"encoding/json"
	"net/http"
	"strconv"
	"time"

	"github.com/magnoliausher/magnoliausher/apierror"
	rpc "github.com/magnoliausher/magnoliausher/rpc/magnoliausher/v1"
)

// timedWriter writes with a deadline, so that a caller that does not read
// cannot hold an upstream.
type timedWriter struct {
	w       http.ResponseWriter
	rc      *http.ResponseController
	timeout time.Duration
	renewed time.Time // of the deadline
}

func newTimedWriter(w http.ResponseWriter, timeout time.Duration) *timedWriter {
	return &timedWriter{w: w, rc: http.NewResponseController(w), timeout: timeout}
}

// renewShare of the timeout may pass before the deadline is set anew, which
// saves a timer operation per token.
const renewShare = 10

func (t *timedWriter) write(b []byte) error {
	now := time.Now()
	if now.Sub(t.renewed) >= t.timeout/renewShare {
		_ = t.rc.SetWriteDeadline(now.Add(t.timeout)) // not supported by every writer
		t.renewed = now
	}
	_, err := t.w.Write(b)
	return err
}

func (t *timedWriter) flush() error { return t.rc.Flush() }

// streamSink answers with server-sent events.
type streamSink struct {
	*answer
	limit  int
	opened bool
	before []byte // of each chunk, up to the text
	after  []byte
	buffer []byte
}

func (s *streamSink) begun() bool { return s.opened }

// text sends one chunk.
func (s *streamSink) text(d *rpc.Delta) error {
	if s.tooLarge(s.limit, d) {
		return errAnswerTooLarge
	}
	if err := s.open(); err != nil {
		return err
	}
	s.buffer = s.appendText(s.buffer[:0], d.Text)
	return s.send()
}

// send writes and flushes the buffer.
func (s *streamSink) send() error {
	if s.writer.write(s.buffer) != nil || s.writer.flush() != nil {
		return errCallerGone
	}
	return nil
}

// open sends the status and, for chats, the chunk with the role.
func (s *streamSink) open() error {
	if s.opened {
		return nil
	}
	s.opened = true
	h := s.writer.w.Header()
	h.Set("Content-Type", "text/event-stream; charset=utf-8")
	h.Set("Cache-Control", "no-cache")
	h.Set("X-Accel-Buffering", "no") // load balancers must not hold chunks back
	s.prepare()
	if s.format == completionFormat {
		return nil
	}
	s.buffer = s.appendChunk(s.buffer[:0], `{"index":0,"delta":{"role":"assistant","content":"","refusal":null},"logprobs":null,"finish_reason":null}`)
	return s.send()
}

// prepare builds the parts of a text chunk that stay the same.
func (s *streamSink) prepare() {
	s.before = s.appendStart(nil)
	if s.format == chatFormat {
		s.before = append(s.before, `{"index":0,"delta":{"content":`...)
		s.after = append(s.after, `},"logprobs":null,"finish_reason":null}`...)
	} else {
		s.before = append(s.before, `{"index":0,"text":`...)
		s.after = append(s.after, `,"logprobs":null,"finish_reason":null}`...)
	}
	s.after = s.appendStop(s.after)
}

// appendStart begins an event up to its list of choices.
func (s *streamSink) appendStart(b []byte) []byte {
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
	b = appendJSON(b, s.model)
	return append(b, `,"choices":[`...)
}

// appendStop ends an event after its choices. With include_usage every chunk
// but the last one has a null usage.
func (s *streamSink) appendStop(b []byte) []byte {
	if s.includeUsage {
		return append(b, `],"usage":null}`+"\n\n"...)
	}
	return append(b, `]}`+"\n\n"...)
}

func (s *streamSink) appendChunk(b []byte, choice string) []byte {
	b = s.appendStart(b)
	b = append(b, choice...)
	return s.appendStop(b)
}

func (s *streamSink) appendText(b []byte, text string) []byte {
	b = append(b, s.before...)
	b = appendJSON(b, text)
	return append(b, s.after...)
}

// appendJSON appends a JSON string.
func appendJSON(b []byte, text string) []byte {
	if plainText(text) {
		b = append(b, '"')
		b = append(b, text...)
		return append(b, '"')
	}
	encoded, err := json.Marshal(text)
	if err != nil { // strings always encode
		panic(err)
	}
	return append(b, encoded...)
}

// plainText reports whether the text needs no escape in JSON.
func plainText(text string) bool {
	for i := 0; i < len(text); i++ {
		c := text[i]
		if c < ' ' || c > '~' || c == '"' || c == '\\' {
			return false
		}
	}
	return true
}

// finish sends the finish reason, the usage if asked for, and the end marker.
func (s *streamSink) finish(end *rpc.End) {
	if end == nil && s.opened {
		s.abort(s.rq.engineError())
		return
	}
	if end == nil {
		s.finishEngine()
		return
	}
	if s.open() != nil {
		return
	}
	reason := string(appendJSON(nil, finishReason(end)))
	choice := `{"index":0,"delta":{},"logprobs":null,"finish_reason":` + reason + `}`
	if s.format == completionFormat {
		choice = `{"index":0,"text":"","logprobs":null,"finish_reason":` + reason + `}`
	}
	s.buffer = s.appendChunk(s.buffer[:0], choice)
	if s.includeUsage {
		s.buffer = s.appendUsage(s.buffer, end)
	}
	s.buffer = append(s.buffer, "data: [DONE]\n\n"...)
	_ = s.send() // the caller may be gone
}

func (s *streamSink) appendUsage(b []byte, end *rpc.End) []byte {
	encoded, err := json.Marshal(usageOf(end))
	if err != nil { // only numbers inside
		panic(err)
	}
	b = s.appendStart(b)
	b = append(b, `],"usage":`...)
	b = append(b, encoded...)
	return append(b, "}\n\n"...)
}

// abort sends an error event. Without the end marker no client takes the
// stream for a whole answer.
func (s *streamSink) abort(err *apierror.Error) {
	s.buffer = append(s.buffer[:0], "event: error\ndata: "...)
	s.buffer = append(s.buffer, err.JSON()...)
	s.buffer = append(s.buffer, "\n\n"...)
	_ = s.send() // the caller may be gone
}
