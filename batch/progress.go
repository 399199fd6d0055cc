package batch

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"net/url"
	"strconv"
	"strings"
	"sync"
	"time"

	"github.com/gravitational/trace"

	"github.com/magnoliausher/magnoliausher/pause"
	"github.com/magnoliausher/magnoliausher/storage"
)

const (
	// checkpointInterval bounds the events of an item that are lost with its
	// owner: about 35 of the 170 that an item has.
	checkpointInterval = time.Second
	// checkpointEvents is the least number of further events for which an item is
	// saved again; generating them takes about half a second.
	checkpointEvents = 16
	// progressRows is read from the store at a time: with partBytes of output in
	// each, in base64, they stay under the 1 MB of an answer.
	progressRows = 16
)

// progress is what has come of an item's answer.
type progress struct {
	LastID string // of the last event had
	Events int
	Output []byte `json:"-"` // data of the events, joined by line feeds
}

// guardedProgress is written by the attempt of an item and read by others.
type guardedProgress struct {
	mu   sync.Mutex
	had  progress
	kept int // events that the store has as well
}

// add notes one more event.
func (g *guardedProgress) add(id string, data []byte) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.had.Events > 0 {
		g.had.Output = append(g.had.Output, '\n')
	}
	g.had.Output = append(g.had.Output, data...)
	g.had.Events++
	if id != "" {
		g.had.LastID = id
	}
}

// snapshot returns a copy and the events that the store has.
func (g *guardedProgress) snapshot() (progress, int) {
	g.mu.Lock()
	defer g.mu.Unlock()
	p := g.had
	p.Output = bytes.Clone(p.Output)
	return p, g.kept
}

func (g *guardedProgress) events() int {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.had.Events
}

func (g *guardedProgress) lastID() string {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.had.LastID
}

// take replaces what is held if p has got further.
func (g *guardedProgress) take(p progress, kept int) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if p.Events > g.had.Events {
		g.had, g.kept = p, kept
	}
}

func (g *guardedProgress) markKept(events int) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.kept = events
}

func (g *guardedProgress) clear() {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.had, g.kept = progress{}, 0
}

// Checkpoints of a job lie in a partition of their own, since they need not be
// atomic with its row and must not slow the writes of others.
func progressPrefix(job string) string { return url.PathEscape(job) + "/progress/" }

func progressKey(job string, index int) string {
	return fmt.Sprintf("%s%06d", progressPrefix(job), index)
}

// encodeProgress returns the value of a row: one line of JSON, then the output.
func encodeProgress(p *progress) []byte {
	head, err := json.Marshal(p)
	if err != nil {
		panic(err) // a struct of strings and numbers always encodes
	}
	return append(append(head, '\n'), p.Output...)
}

func decodeProgress(job string, r storage.Row) (int, progress, error) {
	index, err := strconv.Atoi(strings.TrimPrefix(r.Key, progressPrefix(job)))
	if err != nil {
		return 0, progress{}, trace.Wrap(err, "key %q", r.Key)
	}
	head, output, found := bytes.Cut(r.Value, []byte("\n"))
	var p progress
	if err := json.Unmarshal(head, &p); err != nil || !found || p.LastID == "" || p.Events <= 0 {
		return 0, progress{}, trace.BadParameter("checkpoint %q not understood", r.Key)
	}
	p.Output = output
	return index, p, nil
}

// checkpoint saves what the items of the own jobs have had, so that their next
// owner goes on from there, until ctx ends.
func (s *Service) checkpoint(ctx context.Context) error {
	for pause.For(ctx, checkpointInterval/2+rand.N(checkpointInterval)) {
		if !s.mirror.current(time.Now()) {
			continue // the store does not answer
		}
		for _, r := range s.ownJobs() {
			s.save(ctx, r)
		}
	}
	return nil
}

func (s *Service) ownJobs() []*running {
	s.mu.Lock()
	defer s.mu.Unlock()
	list := make([]*running, 0, len(s.running))
	for _, r := range s.running {
		list = append(list, r)
	}
	return list
}

// save writes the progress of a job's items. No condition is needed: each row
// holds the beginning of one item's answer with the event to go on after,
// whoever wrote it.
func (s *Service) save(ctx context.Context, r *running) {
	var tx storage.Transaction
	events := make(map[int]int) // saved, by index of the item
	size := 0
	s.mu.Lock()
	for i := range r.items {
		w := &r.items[i]
		if w.state >= itemFinished {
			continue
		}
		p, kept := w.snapshot()
		if p.LastID == "" || p.Events-kept < checkpointEvents || len(p.Output) > partBytes {
			continue
		}
		if len(tx.Writes) >= commitRows || size > commitBytes {
			break // the others follow in the next round
		}
		size += len(p.Output)
		events[i] = p.Events
		tx.Writes = append(tx.Writes, storage.Write{Key: progressKey(r.submission.ID, i), Value: encodeProgress(&p), Always: true})
	}
	s.mu.Unlock()
	if len(tx.Writes) == 0 {
		return
	}
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	if _, err := s.cfg.Table.Commit(ctx, tx); err != nil {
		s.cfg.Log.Warn().Err(err).Str("job", r.submission.ID).Int("items", len(tx.Writes)).Msg("progress not saved; the next round saves more")
		return
	}
	for i, n := range events {
		r.items[i].markKept(n)
	}
}

// loadProgress reads the checkpoints of a job into its items that are not listed.
func (s *Service) loadProgress(ctx context.Context, r *running) error {
	items, events := 0, 0
	for after := ""; ; {
		rows, err := s.cfg.Table.Scan(ctx, progressPrefix(r.job.ID), after, progressRows)
		if err != nil {
			return err
		}
		for _, row := range rows {
			index, p, err := decodeProgress(r.job.ID, row)
			if err != nil || index >= len(r.items) {
				s.cfg.Log.Error().Err(err).Str("job", r.job.ID).Str("key", row.Key).Msg("checkpoint left out; its item begins anew")
				continue
			}
			if r.items[index].state < itemFinished {
				r.items[index].take(p, p.Events)
				items, events = items+1, events+p.Events
			}
		}
		if len(rows) < progressRows {
			break
		}
		after = rows[len(rows)-1].Key
	}
	if items > 0 {
		s.cfg.Log.Info().Str("job", r.job.ID).Int("items", items).Int("events", events).Msg("progress of an earlier owner read")
	}
	return nil
}
