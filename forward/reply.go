package forward

import (
	"errors"
	"io"
	"net/http"
	"strconv"

	"github.com/magnoliausher/magnoliausher/effect"
	"github.com/magnoliausher/magnoliausher/event"
)

// reply is the response to the caller. It alone writes to the caller, and decides what
// may follow what was sent: after the events of a stream only further events of it, and
// a response that does not end with complete is cut off.
type reply struct {
	w            http.ResponseWriter
	phase        replyPhase
	modelVersion string // of the response that began the stream; empty if it named none
	lastEventID  string
	events       int
}

type replyPhase uint8

const (
	replyOpen      replyPhase = iota // nothing was sent
	replyStreaming                   // events of a stream were sent
	replyCopying                     // part of another body was sent
	replyComplete
)

var errReplyBegun = errors.New("the response has begun")

func (p *reply) begun() bool { return p.phase != replyOpen }

// continuable reports whether the response of a further attempt can be of use.
func (p *reply) continuable() bool { return p.phase == replyOpen || p.phase == replyStreaming }

// responseUse is what an exchange may do with a response of an upstream.
type responseUse uint8

const (
	useEvents      responseUse = iota // pass on its events
	useBody                           // pass on its status and body
	rejectPromise                     // states that the request has not run, which is not certain
	rejectUnsigned                    // may not come from the upstream
	rejectOther                       // is no continuation of the stream that was begun
	rejectModel                       // comes from another version of the model
)

// String returns the name of the use in metrics and in the log of attempts.
func (u responseUse) String() string {
	return [...]string{"events", "body", "no_proof_of_refusal", "no_signature", "no_continuation", "other_model_version"}[u]
}

// judge returns the use of a response that an upstream executed. Once a stream has
// begun, only a stream of the same model continues it.
func (p *reply) judge(r *Response) responseUse {
	stream := r.EventStream && r.Status == http.StatusOK
	switch {
	case effect.Promises(r.Status):
		return rejectPromise
	case r.Status/100 == 2 && !r.Signed:
		return rejectUnsigned
	case !p.begun() && stream:
		return useEvents
	case !p.begun():
		return useBody
	case p.phase != replyStreaming || !stream:
		return rejectOther
	case p.modelVersion != "" && r.ModelVersion != "" && p.modelVersion != r.ModelVersion:
		return rejectModel
	}
	return useEvents
}

// whole sends a complete response.
func (p *reply) whole(status int, header http.Header, body []byte) error {
	if err := p.begin(status, header, len(body)); err != nil {
		return err
	}
	if _, err := p.w.Write(body); err != nil {
		return err
	}
	p.phase = replyComplete
	return nil
}

// bodyStart sends the header and the first part of a body that copyBody continues.
func (p *reply) bodyStart(status int, header http.Header, part []byte) error {
	if err := p.begin(status, header, -1); err != nil {
		return err
	}
	_, err := p.w.Write(part)
	return err
}

// copyBody sends the rest of a body and returns its length in bytes.
func (p *reply) copyBody(rest io.Reader) (int64, error) {
	if p.phase != replyCopying {
		return 0, errReplyBegun
	}
	return io.Copy(p.w, rest)
}

func (p *reply) begin(status int, header http.Header, length int) error {
	if p.begun() {
		return errReplyBegun
	}
	p.phase = replyCopying
	p.setHeader(header)
	if length >= 0 {
		p.w.Header().Set("Content-Length", strconv.Itoa(length))
	}
	p.w.WriteHeader(status)
	return nil
}

// setHeader copies the header of a response.
func (p *reply) setHeader(header http.Header) {
	for name, values := range header {
		p.w.Header()[name] = values
	}
	if header.Get("Content-Type") == "" {
		p.w.Header()["Content-Type"] = nil // keeps net/http from sniffing one
	}
}

// event sends one event of a stream, preceded by the header of the first response. What
// follows the last event of a stream is an event without an ID and may be empty.
func (p *reply) event(r *Response, e event.Event) error {
	switch p.phase {
	case replyOpen:
		p.phase, p.modelVersion = replyStreaming, r.ModelVersion
		p.setHeader(r.Header)
		p.w.Header().Del("Content-Length") // a resumed stream may differ in length
		p.w.WriteHeader(r.Status)
	case replyStreaming:
	default:
		return errReplyBegun
	}
	if len(e.Raw) == 0 {
		return nil
	}
	if _, err := p.w.Write(e.Raw); err != nil {
		return err
	}
	if e.ID != "" {
		p.lastEventID = e.ID
	}
	p.events++
	return http.NewResponseController(p.w).Flush()
}

// complete states that the whole response was sent.
func (p *reply) complete() { p.phase = replyComplete }

// close cuts off a response that is not complete. Without it, net/http would end the
// response as if it were.
func (p *reply) close() {
	if p.phase != replyComplete {
		panic(http.ErrAbortHandler)
	}
}
