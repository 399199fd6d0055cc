package replay

import "time"

// store simulates the platform's table as used by jobs: conditional writes that may
// fail, be slow, or take effect without the response reaching the caller.
type store struct {
	sim             *simulation
	downUntil       time.Duration
	slowUntil       time.Duration
	responsesToLose int // number of following writes whose response is lost
}

func (s *store) latency() time.Duration {
	if s.sim.now < s.slowUntil {
		return platformSlowFactor * platformLatency
	}
	return platformLatency
}

// responseTimeout is how long a caller waits for a response that is lost.
const responseTimeout = 2 * time.Second

// write applies a change and then calls done with the value returned by apply. While
// the platform is down, it retries with backoff. After a lost response, it calls done
// with the value of tookEffect, which stands for a read of the unique ID in the row.
// When alive returns false, the caller is gone and write stops without calling done.
func (s *store) write(tries int, alive func() bool, apply, tookEffect func() bool, done func(ok bool)) {
	if !alive() {
		return
	}
	if s.sim.now < s.downUntil {
		s.sim.scheduleAfter(s.sim.backoff(tries), func() { s.write(tries+1, alive, apply, tookEffect, done) })
		return
	}
	s.sim.scheduleAfter(s.latency()/2, func() {
		ok := apply()
		if s.responsesToLose > 0 {
			s.responsesToLose--
			s.sim.scheduleAfter(responseTimeout, func() { s.readBack(0, alive, tookEffect, done) })
			return
		}
		s.sim.scheduleAfter(s.latency()/2, func() {
			if alive() {
				done(ok)
			}
		})
	})
}

func (s *store) readBack(tries int, alive, tookEffect func() bool, done func(ok bool)) {
	if !alive() {
		return
	}
	if s.sim.now < s.downUntil {
		s.sim.scheduleAfter(s.sim.backoff(tries), func() { s.readBack(tries+1, alive, tookEffect, done) })
		return
	}
	s.sim.scheduleAfter(s.latency(), func() {
		if alive() {
			done(tookEffect())
		}
	})
}
