package duty

import (
	"context"
	"sync/atomic"
)

// maxIdleWorkers bounds the number of idle goroutines. Each keeps a stack of some KiB.
const maxIdleWorkers = 32

// Workers runs short jobs immediately, on goroutines that it reuses. New goroutines would have
// to grow their stack for every job, which took a seventh of all processor time of an idle
// process.
type Workers struct {
	lifetime context.Context
	jobs     chan func()
	idle     atomic.Int32
}

// NewWorkers returns workers whose idle goroutines end with lifetime.
func NewWorkers(lifetime context.Context) *Workers {
	return &Workers{lifetime: lifetime, jobs: make(chan func())}
}

// Run starts the job and does not wait for it.
func (w *Workers) Run(job func()) {
	select {
	case w.jobs <- job:
	default:
		go w.work(job)
	}
}

// work runs the job and further ones until the lifetime ends or enough other workers are idle.
func (w *Workers) work(job func()) {
	for {
		job()
		if w.idle.Add(1) > maxIdleWorkers {
			w.idle.Add(-1)
			return
		}
		select {
		case job = <-w.jobs:
			w.idle.Add(-1)
		case <-w.lifetime.Done():
			return
		}
	}
}
