package entry

import (
	"net/http"
	"strings"
	"time"

	"github.com/magnoliausher/magnoliausher/apierror"
	"github.com/magnoliausher/magnoliausher/contract"
)

// Paths that the entry serves.
const (
	pathChat       = "/v1/chat/completions"
	pathCompletion = "/v1/completions"
	pathModels     = "/v1/models"
	pathFiles      = "/v1/files"
	pathBatches    = "/v1/batches"
	pathServices   = "/services/"
	pathOperator   = "/operator/"
	pathHealth     = "/healthz"
	pathReady      = "/readyz"
	pathMetrics    = "/metrics"
)

// Handler serves all paths. It does not clean or redirect them, since a plain service
// receives the path as the caller sent it.
func (e *Entry) Handler() http.Handler {
	return http.HandlerFunc(e.serve)
}

func (e *Entry) serve(w http.ResponseWriter, r *http.Request) {
	switch r.URL.Path {
	case pathHealth:
		serveHealth(w)
		return
	case pathReady:
		e.serveReady(w)
		return
	case pathMetrics:
		serveMetrics(w, r)
		return
	}
	// Clears the write deadline of the previous request on the connection.
	_ = http.NewResponseController(w).SetWriteDeadline(time.Time{})
	rq := e.newRequest(r)
	w.Header().Set(requestIDHeader, rq.id)
	if !e.drain.begin() {
		e.refuse(w, rq, unavailable(codeDraining, "The instance is shutting down.", e.config.RetryAfter))
		return
	}
	defer e.drain.end()
	if fail := e.route(w, r, rq); fail != nil {
		e.refuse(w, rq, fail)
	}
}

// route serves the request, or returns the error to respond with if nothing has been
// written.
func (e *Entry) route(w http.ResponseWriter, r *http.Request, rq *request) *apierror.Error {
	path := r.URL.Path
	switch {
	case path == pathChat:
		return e.serveGeneration(w, r, rq, chatFormat)
	case path == pathCompletion:
		return e.serveGeneration(w, r, rq, completionFormat)
	case path == pathModels || strings.HasPrefix(path, pathModels+"/"):
		return e.serveModels(w, r, rq)
	case isUnder(path, pathFiles) || isUnder(path, pathBatches):
		return e.serveJobs(w, r, rq)
	case strings.HasPrefix(path, pathServices):
		return e.servePlain(w, r, rq)
	case strings.HasPrefix(path, pathOperator) && e.config.Operator != nil:
		e.serveOperator(w, r, rq)
		return nil
	}
	return refusal(http.StatusNotFound, typeNotFound, codeUnknownPath, "The path is not known.")
}

// isUnder reports whether the path equals the prefix or is below it.
func isUnder(path, prefix string) bool {
	rest, ok := strings.CutPrefix(path, prefix)
	return ok && (rest == "" || rest[0] == '/')
}

// serveJobs passes file and batch requests, with their caller, to the jobs handler.
func (e *Entry) serveJobs(w http.ResponseWriter, r *http.Request, rq *request) *apierror.Error {
	if e.config.Jobs == nil {
		return refusal(http.StatusNotFound, typeNotFound, codeUnknownPath, "The instance serves no batch jobs.")
	}
	if fail := e.authenticate(rq, r); fail != nil {
		return fail
	}
	if fail := checkClass(rq.caller, contract.ClassBatch); fail != nil {
		return fail
	}
	e.config.Jobs.ServeHTTP(w, r.WithContext(contract.WithCaller(r.Context(), rq.caller)))
	return nil
}

// serveOperator leaves authorization to the handler, because the first configuration is
// set before any caller exists.
func (e *Entry) serveOperator(w http.ResponseWriter, r *http.Request, rq *request) {
	ctx := r.Context()
	if e.authenticate(rq, r) == nil {
		ctx = contract.WithCaller(ctx, rq.caller)
	}
	e.config.Operator.ServeHTTP(w, r.WithContext(ctx))
}

// modelList is the response body of /v1/models.
type modelList struct {
	Object string  `json:"object"`
	Data   []model `json:"data"`
}

type model struct {
	ID      string `json:"id"`
	Object  string `json:"object"`
	Created int64  `json:"created"`
	OwnedBy string `json:"owned_by"`
}

// modelOwner is the value of owned_by, which the OpenAI API requires.
const modelOwner = "magnoliausher"

func (e *Entry) serveModels(w http.ResponseWriter, r *http.Request, rq *request) *apierror.Error {
	if r.Method != http.MethodGet && r.Method != http.MethodHead {
		return methodNotAllowed(w, "GET, HEAD")
	}
	if fail := e.authenticate(rq, r); fail != nil {
		return fail
	}
	ix := e.config.Holder.Current()
	if name, ok := strings.CutPrefix(r.URL.Path, pathModels+"/"); ok {
		if ix.ServiceForModel(name) == nil {
			return unknownModel(name)
		}
		writeJSON(w, http.StatusOK, describeModel(name, ix.Document))
		return nil
	}
	list := modelList{Object: "list", Data: []model{}}
	for i := range ix.Document.Services {
		s := &ix.Document.Services[i]
		if s.Kind == contract.KindEngine {
			list.Data = append(list.Data, describeModel(modelName(s), ix.Document))
		}
	}
	writeJSON(w, http.StatusOK, list)
	return nil
}

// modelName returns the model name that callers use for an engine service.
func modelName(s *contract.Service) string {
	if s.Model != "" {
		return s.Model
	}
	return s.Name
}

func describeModel(name string, doc *contract.Document) model {
	created := int64(0)
	if day, err := time.Parse(time.DateOnly, doc.SheetDate); err == nil {
		created = day.Unix()
	}
	return model{ID: name, Object: "model", Created: created, OwnedBy: modelOwner}
}

func methodNotAllowed(w http.ResponseWriter, allowed string) *apierror.Error {
	w.Header().Set("Allow", allowed)
	return refusal(http.StatusMethodNotAllowed, typeInvalid, codeMethodNotAllowed, "The path allows only "+allowed+".")
}

func unknownModel(name string) *apierror.Error {
	err := refusal(http.StatusNotFound, typeNotFound, codeUnknownModel, "The model "+quote(name)+" does not exist.")
	err.Param = "model"
	return err
}

// maxQuotedBytes bounds the part of a name from a request that an error message
// repeats.
const maxQuotedBytes = 64

func quote(s string) string {
	if len(s) > maxQuotedBytes {
		s = s[:maxQuotedBytes] + "..."
	}
	return `"` + strings.ToValidUTF8(s, "") + `"`
}
