package main

import (
	"encoding/json"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"sort"
	"strconv"
	"strings"
	"sync"
	"time"
)

// Limits of the store, from PROTOCOL.md.
const (
	maxEntries   = 100
	maxCallBytes = 1 << 20
	maxRows      = 500
	storeDelay   = 4 * time.Millisecond
)

type row struct {
	Table   string `json:"table"`
	Part    string `json:"part"`
	Key     string `json:"key"`
	Value   []byte `json:"value,omitempty"`
	Version uint64 `json:"ver"`
	Removed bool   `json:"removed,omitempty"`
}

type rowID struct{ table, part, key string }

// store is a stand-in of the platform's store: linearizable, in memory, never down by itself.
type store struct {
	address string
	server  *http.Server
	started time.Time

	mu      sync.Mutex
	rows    map[rowID]row
	history []row
	version uint64
	changed chan struct{}
	objects map[string][]byte
	late    float64 // share of the transactions that get no answer and are done lateMin to lateMax later
	lost    int     // transactions without an answer
}

// A transaction without an answer is done 1 to 6 s later, if its conditions still hold.
const (
	lateMin = time.Second
	lateMax = 6 * time.Second
)

func newStore() *store {
	l := listen()
	s := &store{address: l.Addr().String(), started: time.Now(), rows: make(map[rowID]row), changed: make(chan struct{}), objects: make(map[string][]byte)}
	s.server = &http.Server{Handler: s}
	go func() { _ = s.server.Serve(l) }()
	return s
}

func listen() net.Listener {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		cannotRun("listening: %v", err)
	}
	return l
}

// put writes a row as the operator or an engine does, without a condition.
func (s *store) put(table, key string, value any) {
	data, err := json.Marshal(value)
	if err != nil {
		cannotRun("encoding a row: %v", err)
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.version++
	s.apply(row{Table: table, Key: key, Value: data, Version: s.version})
	s.notify()
}

func (s *store) remove(table, key string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.version++
	s.apply(row{Table: table, Key: key, Version: s.version, Removed: true})
	s.notify()
}

func (s *store) apply(r row) {
	id := rowID{r.Table, r.Part, r.Key}
	if r.Removed {
		delete(s.rows, id)
	} else {
		s.rows[id] = r
	}
	s.history = append(s.history, r)
}

func (s *store) notify() {
	close(s.changed)
	s.changed = make(chan struct{})
}

// ServeHTTP implements http.Handler.
func (s *store) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	time.Sleep(storeDelay)
	call, rest, _ := strings.Cut(strings.TrimPrefix(r.URL.Path, "/magnoliausher/"), "/")
	switch call {
	case "rows-tx":
		s.commit(w, r)
	case "rows-get":
		s.get(w, r)
	case "rows-feed":
		s.feed(w, r)
	case "blob-put":
		body, err := io.ReadAll(r.Body)
		if err != nil {
			return
		}
		s.mu.Lock()
		s.objects[rest] = body
		s.mu.Unlock()
	case "blob-get":
		s.mu.Lock()
		body, found := s.objects[rest]
		s.mu.Unlock()
		if !found {
			w.WriteHeader(http.StatusNotFound)
			return
		}
		_, _ = w.Write(body)
	case "blob-drop":
		s.mu.Lock()
		delete(s.objects, rest)
		s.mu.Unlock()
	default:
		w.WriteHeader(http.StatusNotFound)
	}
}

func (s *store) commit(w http.ResponseWriter, r *http.Request) {
	var tx transaction
	body, err := io.ReadAll(io.LimitReader(r.Body, maxCallBytes+1))
	if err != nil {
		return
	}
	if len(body) > maxCallBytes {
		w.WriteHeader(http.StatusRequestEntityTooLarge)
		return
	}
	if err := json.Unmarshal(body, &tx); err != nil || len(tx.Conditions)+len(tx.Put)+len(tx.Remove) > maxEntries {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	s.mu.Lock()
	if rand.Float64() < s.late {
		s.lost++
		s.mu.Unlock()
		time.AfterFunc(lateMin+rand.N(lateMax-lateMin), func() {
			s.mu.Lock()
			defer s.mu.Unlock()
			s.transact(tx)
		})
		<-r.Context().Done() // the channel delivers nothing further
		return
	}
	defer s.mu.Unlock()
	current, conflict := s.transact(tx)
	if conflict {
		s.write(w, http.StatusPreconditionFailed, current, false)
		return
	}
	s.write(w, http.StatusOK, nil, false)
}

type transaction struct {
	Conditions []row `json:"if-rev"`
	Put        []row `json:"put"`
	Remove     []row `json:"remove"`
}

// transact applies a transaction, or returns the rows of its conditions if one does not hold. The
// caller holds the lock.
func (s *store) transact(tx transaction) (current []row, conflict bool) {
	for _, c := range tx.Conditions {
		held, found := s.rows[rowID{c.Table, c.Part, c.Key}]
		conflict = conflict || held.Version != c.Version
		if found {
			current = append(current, held)
		}
	}
	if conflict {
		return current, true
	}
	s.version++
	for _, p := range tx.Put {
		p.Version = s.version
		s.apply(p)
	}
	for _, p := range tx.Remove {
		p.Version, p.Removed = s.version, true
		s.apply(p)
	}
	s.notify()
	return nil, false
}

// setLate sets the share of the transactions that get no answer.
func (s *store) setLate(share float64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.late = share
}

func (s *store) write(w http.ResponseWriter, status int, rows []row, truncated bool) {
	if rows == nil {
		rows = []row{}
	}
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(map[string]any{"rows": rows, "truncated": truncated, "ver": s.version,
		"now-ms": time.Since(s.started).Milliseconds()})
}

func (s *store) get(w http.ResponseWriter, r *http.Request) {
	q := r.URL.Query()
	limit, err := strconv.Atoi(q.Get("limit"))
	if err != nil || limit <= 0 || limit > maxRows {
		limit = maxRows
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	var list []row
	for id, held := range s.rows {
		if id.table == q.Get("table") && id.part == q.Get("part") && id.key >= q.Get("from") && (q.Get("to") == "" || id.key < q.Get("to")) {
			list = append(list, held)
		}
	}
	sort.Slice(list, func(i, j int) bool { return list[i].Key < list[j].Key })
	n, size := 0, 0
	for n < len(list) && n < limit {
		size += len(list[n].Value)*4/3 + 200
		if n > 0 && size > maxCallBytes {
			break
		}
		n++
	}
	s.write(w, http.StatusOK, list[:n], n < len(list))
}

func (s *store) feed(w http.ResponseWriter, r *http.Request) {
	q := r.URL.Query()
	after, _ := strconv.ParseUint(q.Get("after"), 10, 64)
	wait, _ := strconv.Atoi(q.Get("wait-ms"))
	timeout := time.After(time.Duration(wait) * time.Millisecond)
	for expired := false; ; {
		s.mu.Lock()
		var list []row
		for _, changed := range s.history {
			if changed.Version > after && changed.Table == q.Get("table") {
				list = append(list, changed)
			}
		}
		next := s.changed
		if len(list) > 0 || expired {
			s.write(w, http.StatusOK, list, false)
			s.mu.Unlock()
			return
		}
		s.mu.Unlock()
		select {
		case <-next:
		case <-timeout:
			expired = true
		case <-r.Context().Done():
			return
		}
	}
}
