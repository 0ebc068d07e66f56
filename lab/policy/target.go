package policy

import (
	"time"

	"tarragongw/core/admission"
)

// Delays one way between two VMs.
const (
	delayWithin  = 100 * time.Microsecond
	delayBetween = 500 * time.Microsecond
)

// routers is the number of entry VMs, and centres that of data centres.
const (
	routers = 12
	centres = 3
)

// delay is the time one way between VMs by their data centres.
func delay(a, b int) time.Duration {
	if a%centres == b%centres {
		return delayWithin
	}
	return delayBetween
}

// job is one request.
type job struct {
	target, router int
	caller         string
	batch          bool
	arrived        time.Duration
	// deadline is when the answer must be at the entry router; zero means none.
	deadline time.Duration
	work     time.Duration

	// waits is the gate in whose queue the job is, under id; attempt is its attempt at
	// a target; cancelled jobs are no longer wanted.
	waits     *gate
	id        admission.ID
	attempt   *attempt
	cancelled bool
}

// fate is how an attempt at a target ended.
type fate uint8

const (
	fateAnswered fate = iota
	// fateAborted means that the deadline passed before the work was done.
	fateAborted
	// fateRefused means that the target had no connection left.
	fateRefused
	// fateDown means that no connection to the target could be opened.
	fateDown
)

// server is a target: slots that work, and a queue of its own for what is sent
// beyond them, as far as its connections go. It honours deadlines: it drops queued
// work that is too late and stops work at its deadline.
type server struct {
	sim         *sim
	slots       int
	connections int
	// slow multiplies the time of all work; zero means one.
	slow float64
	down bool
	// warm, if set, is told of each end of work.
	warm func(*server)

	busy  int
	queue []*attempt
	// exceeded counts attempts that came when all slots were taken, and attempts all.
	attempts, exceeded int
}

type attempt struct {
	job  *job
	done func(fate)
	// ended tells an attempt that was cancelled at work.
	ended bool
}

func (v *server) send(j *job, done func(fate)) {
	v.attempts++
	open := v.busy + len(v.queue)
	if open >= v.slots {
		v.exceeded++
	}
	if v.down {
		done(fateDown)
		return
	}
	if open >= v.connections {
		done(fateRefused)
		return
	}
	a := &attempt{job: j, done: done}
	j.attempt = a
	if v.busy < v.slots {
		v.start(a)
		return
	}
	v.queue = append(v.queue, a)
}

func (v *server) start(a *attempt) {
	v.busy++
	work, result := a.job.work, fateAnswered
	if v.slow > 0 {
		work = time.Duration(float64(work) * v.slow)
	}
	if limit := a.job.deadline; limit > 0 && v.sim.now+work > limit {
		work, result = max(limit-v.sim.now, 0), fateAborted
	}
	v.sim.after(work, func() { v.finish(a, result) })
}

func (v *server) finish(a *attempt, result fate) {
	if a.ended {
		return
	}
	a.ended = true
	v.busy--
	if v.warm != nil {
		v.warm(v)
	}
	a.done(result)
	v.next()
}

// cancel stops work that is no longer wanted, as targets that honour cancellation do.
func (v *server) cancel(a *attempt) { v.finish(a, fateAborted) }

func (v *server) next() {
	for len(v.queue) > 0 && v.busy < v.slots {
		a := v.queue[0]
		v.queue = v.queue[1:]
		if limit := a.job.deadline; limit > 0 && v.sim.now >= limit {
			a.done(fateAborted)
			continue
		}
		v.start(a)
	}
}
