package platform

import (
	"encoding/json"
	"errors"
	"io"
	"net/http"
	"strconv"

	"github.com/magnoliausher/magnoliausher/storage"
)

// maxTransactionBytes limits the body of a commit.
const maxTransactionBytes = 16 << 20

// Handler serves the HTTP interface that storage.Client uses. A lost response
// breaks the connection.
func (p *Platform) Handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET "+storage.PathRow, p.serveRow)
	mux.HandleFunc("GET "+storage.PathScan, p.serveScan)
	mux.HandleFunc("POST "+storage.PathCommit, p.serveCommit)
	mux.HandleFunc("GET "+storage.PathObject, p.serveObject)
	mux.HandleFunc("PUT "+storage.PathObject, p.servePut)
	mux.HandleFunc("DELETE "+storage.PathObject, p.serveDelete)
	mux.HandleFunc("GET "+storage.PathObjects, p.serveObjects)
	mux.HandleFunc("GET "+storage.PathInstances, p.serveInstances)
	return mux
}

func (p *Platform) serveRow(w http.ResponseWriter, r *http.Request) {
	row, err := p.Get(r.Context(), r.URL.Query().Get(storage.ParamKey))
	respond(w, row, err)
}

func (p *Platform) serveScan(w http.ResponseWriter, r *http.Request) {
	q := r.URL.Query()
	limit, err := strconv.Atoi(q.Get(storage.ParamLimit))
	if err != nil {
		respond(w, nil, ErrInvalid)
		return
	}
	rows, err := p.Scan(r.Context(), q.Get(storage.ParamPrefix), q.Get(storage.ParamAfter), limit)
	respond(w, storage.ScanBody{Rows: rows}, err)
}

func (p *Platform) serveCommit(w http.ResponseWriter, r *http.Request) {
	var tx storage.Transaction
	if err := json.NewDecoder(http.MaxBytesReader(w, r.Body, maxTransactionBytes)).Decode(&tx); err != nil {
		respond(w, nil, errors.Join(ErrInvalid, err))
		return
	}
	versions, err := p.Commit(r.Context(), tx)
	respond(w, storage.CommitBody{Versions: versions}, err)
}

func (p *Platform) serveObject(w http.ResponseWriter, r *http.Request) {
	body, err := p.Objects().Get(r.Context(), r.URL.Query().Get(storage.ParamKey))
	if err != nil {
		respond(w, nil, err)
		return
	}
	defer body.Close()
	w.Header().Set("Content-Type", "application/octet-stream")
	_, _ = io.Copy(w, body) // the client may have disconnected
}

func (p *Platform) servePut(w http.ResponseWriter, r *http.Request) {
	err := p.Objects().Put(r.Context(), r.URL.Query().Get(storage.ParamKey), r.Body)
	respond(w, struct{}{}, err)
}

func (p *Platform) serveDelete(w http.ResponseWriter, r *http.Request) {
	err := p.Objects().Delete(r.Context(), r.URL.Query().Get(storage.ParamKey))
	respond(w, struct{}{}, err)
}

func (p *Platform) serveObjects(w http.ResponseWriter, r *http.Request) {
	q := r.URL.Query()
	limit, err := strconv.Atoi(q.Get(storage.ParamLimit))
	if err != nil {
		respond(w, nil, ErrInvalid)
		return
	}
	infos, err := p.Objects().List(r.Context(), q.Get(storage.ParamPrefix), q.Get(storage.ParamAfter), limit)
	respond(w, storage.ObjectsBody{Objects: infos}, err)
}

func (p *Platform) serveInstances(w http.ResponseWriter, r *http.Request) {
	since, err := strconv.ParseUint(r.URL.Query().Get(storage.ParamSince), 10, 64)
	if err != nil {
		respond(w, nil, ErrInvalid)
		return
	}
	list, revision, err := p.Instances(r.Context(), since)
	respond(w, storage.InstancesBody{Revision: revision, Unchanged: list == nil, Instances: list}, err)
}

// respond writes a result or an error as JSON.
func respond(w http.ResponseWriter, result any, err error) {
	if errors.Is(err, errResponseLost) {
		panic(http.ErrAbortHandler) // net/http closes the connection without a response
	}
	w.Header().Set("Content-Type", "application/json")
	if err != nil {
		status, code := statusOf(err)
		w.WriteHeader(status)
		result = storage.ErrorBody{Code: code, Message: err.Error()}
	}
	_ = json.NewEncoder(w).Encode(result) // the client may have disconnected
}

func statusOf(err error) (int, string) {
	switch {
	case errors.Is(err, storage.ErrNotFound):
		return http.StatusNotFound, storage.CodeNotFound
	case errors.Is(err, storage.ErrConflict):
		return http.StatusConflict, storage.CodeConflict
	case errors.Is(err, storage.ErrThrottled):
		return http.StatusTooManyRequests, storage.CodeThrottled
	case errors.Is(err, ErrInvalid):
		return http.StatusBadRequest, storage.CodeInvalid
	}
	return http.StatusServiceUnavailable, storage.CodeUnavailable
}
