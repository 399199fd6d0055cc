package replay

import "time"

// store is the platform's table as far as jobs use it: conditional writes that
// may fail, take long, or lose their answer after taking effect.
type store struct {
	w          *world
	downUntil  time.Duration
	slowUntil  time.Duration
	loseAnswer int // answers of coming writes to lose
}

func (s *store) latency() time.Duration {
	if s.w.now < s.slowUntil {
		return slowFactor * platformLatency
	}
	return platformLatency
}

// answerTimeout is how long a caller waits for a lost answer.
const answerTimeout = 2 * time.Second

// write applies a change once the platform takes it and then calls done with
// what apply returned. While the platform is down it tries again after a pause.
// After a lost answer settled tells whether the change took effect, as a reader
// finds out by the unique id in the row; alive ends the tries of a lost process.
func (s *store) write(tries int, alive func() bool, apply, settled func() bool, done func(ok bool)) {
	if !alive() {
		return
	}
	if s.w.now < s.downUntil {
		s.w.after(s.w.backoff(tries), func() { s.write(tries+1, alive, apply, settled, done) })
		return
	}
	s.w.after(s.latency()/2, func() {
		ok := apply()
		if s.loseAnswer > 0 {
			s.loseAnswer--
			s.w.after(answerTimeout, func() { s.readBack(0, alive, settled, done) })
			return
		}
		s.w.after(s.latency()/2, func() {
			if alive() {
				done(ok)
			}
		})
	})
}

func (s *store) readBack(tries int, alive, settled func() bool, done func(ok bool)) {
	if !alive() {
		return
	}
	if s.w.now < s.downUntil {
		s.w.after(s.w.backoff(tries), func() { s.readBack(tries+1, alive, settled, done) })
		return
	}
	s.w.after(s.latency(), func() {
		if alive() {
			done(settled())
		}
	})
}
