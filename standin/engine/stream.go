package engine

import (
	"encoding/json"
	"net/http"
	"time"

	"github.com/magnoliausher/magnoliausher/apierror"
)

// streamCompletion responds with server-sent events. Tokens that were generated
// since the previous event share one event.
func (s *Server) streamCompletion(w http.ResponseWriter, r *http.Request, j *job) {
	w.Header().Set("Content-Type", contentTypeEvent)
	w.WriteHeader(http.StatusOK)
	flush(w)
	sent := 0
	for {
		generated, last, cancelled := s.waitForTokens(r, j, sent)
		switch {
		case cancelled:
			// No [DONE], so that the client does not take the response for complete.
			sendData(w, (&apierror.Error{Type: "cancelled", Code: "cancelled", Message: "the request was cancelled"}).JSON())
			return
		case generated > sent:
			sendData(w, encode(s.chunk(j, sent, generated)))
			sent = generated
		default:
			_, _ = w.Write([]byte(": waiting\n\n"))
		}
		if last {
			s.endStream(w, j, sent)
			return
		}
		flush(w)
	}
}

func (s *Server) endStream(w http.ResponseWriter, j *job, sent int) {
	reason := s.finishReason(j.prompt)
	end := s.newCompletion(j, "chunk")
	end.Choices = []choice{j.choice("", true, &reason)}
	sendData(w, encode(end))
	if j.prompt.IncludeUsage {
		usage := s.newCompletion(j, "chunk")
		usage.Usage = j.usage(sent)
		sendData(w, encode(usage))
	}
	sendData(w, []byte("[DONE]"))
}

// sendCompletion waits for the complete output and sends one JSON body.
func (s *Server) sendCompletion(w http.ResponseWriter, r *http.Request, j *job) {
	seen := 0
	for {
		generated, last, cancelled := s.waitForTokens(r, j, seen)
		if cancelled {
			writeError(w, http.StatusConflict, "cancelled", "the request was cancelled")
			return
		}
		seen = generated
		if last {
			break
		}
	}
	reason := s.finishReason(j.prompt)
	response := s.newCompletion(j, "")
	from := j.prompt.Resume.Tokens
	response.Choices = []choice{j.choice(outputText(j.hash, from, from+seen), false, &reason)}
	response.Usage = j.usage(seen)
	writeJSON(w, http.StatusOK, response)
}

// chunk returns the event for the tokens from (inclusive) to to (exclusive) of
// this attempt.
func (s *Server) chunk(j *job, from, to int) completion {
	c := s.newCompletion(j, "chunk")
	first := j.prompt.Resume.Tokens
	text := outputText(j.hash, first+from, first+to)
	c.Choices = []choice{j.choice(text, true, nil)}
	if to-from > 1 {
		c.Tokens = to - from
	}
	return c
}

func (s *Server) newCompletion(j *job, part string) completion {
	object := "text_completion"
	if j.chat {
		object = "chat.completion"
		if part != "" {
			object += "." + part
		}
	}
	return completion{
		ID:      j.request.id,
		Object:  object,
		Created: time.Now().Unix(),
		Model:   j.prompt.Model,
		Choices: []choice{},
	}
}

func (j *job) choice(text string, delta bool, reason *string) choice {
	switch {
	case !j.chat:
		return choice{Text: &text, FinishReason: reason}
	case delta:
		return choice{Delta: &content{Content: text}, FinishReason: reason}
	default:
		return choice{Message: &content{Role: "assistant", Content: text}, FinishReason: reason}
	}
}

func (j *job) usage(generated int) *Usage {
	out := j.prompt.Resume.Tokens + generated
	return &Usage{
		PromptTokens:     j.prompt.Tokens,
		CompletionTokens: out,
		TotalTokens:      j.prompt.Tokens + out,
	}
}

func encode(c completion) []byte {
	b, err := json.Marshal(c)
	if err != nil { // cannot fail: only strings and ints
		panic(err)
	}
	return b
}

func sendData(w http.ResponseWriter, data []byte) {
	_, _ = w.Write([]byte("data: "))
	_, _ = w.Write(data)
	_, _ = w.Write([]byte("\n\n")) // a failed write cancels the request's context
}

func flush(w http.ResponseWriter) {
	_ = http.NewResponseController(w).Flush() // not supported by every writer
}
