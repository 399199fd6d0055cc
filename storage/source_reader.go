package storage

import (
	"io"
	"sync"
)

// sourceReader passes the body of a Put to net/http and remembers its error,
// so that a failing source is not taken for a failing platform. net/http may
// still read it in its own goroutine after the call has returned; the mutex
// orders the two.
type sourceReader struct {
	body  io.Reader
	watch *progressWatch

	mu  sync.Mutex
	err error
}

func (s *sourceReader) Read(p []byte) (int, error) {
	s.watch.stop() // a slow source is not a silent platform
	n, err := s.body.Read(p)
	s.watch.reset()
	if err != nil && err != io.EOF {
		s.mu.Lock()
		s.err = err
		s.mu.Unlock()
	}
	return n, err
}

func (s *sourceReader) failed() error {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.err
}
