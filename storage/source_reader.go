package storage

import (
	"io"
	"sync"
)

// sourceReader passes the body of a Put to net/http and records its read error,
// so that a failing source is not reported as a failing platform. The mutex is
// needed because the goroutine of net/http may still read the body after the
// call has returned.
type sourceReader struct {
	body     io.Reader
	progress *progressTimer

	mu  sync.Mutex
	err error
}

func (s *sourceReader) Read(p []byte) (int, error) {
	s.progress.stop() // the time of a slow source does not count as a stall of the platform
	n, err := s.body.Read(p)
	s.progress.reset()
	if err != nil && err != io.EOF {
		s.mu.Lock()
		s.err = err
		s.mu.Unlock()
	}
	return n, err
}

func (s *sourceReader) sourceError() error {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.err
}
