package duty

import (
	"context"
	"sync/atomic"
)

// maxIdleWorkers bounds the goroutines that wait for work. Each keeps a stack of
// some KiB.
const maxIdleWorkers = 32

// Workers runs short jobs, each at once, on goroutines that it keeps: a new goroutine
// has to grow its stack for every job, which at rest cost a seventh of all processor
// time.
type Workers struct {
	lifetime context.Context
	jobs     chan func()
	idle     atomic.Int32
}

// NewWorkers returns workers that end with lifetime.
func NewWorkers(lifetime context.Context) *Workers {
	return &Workers{lifetime: lifetime, jobs: make(chan func())}
}

// Run begins the job and does not wait.
func (w *Workers) Run(job func()) {
	select {
	case w.jobs <- job:
	default:
		go w.work(job)
	}
}

// work ends with the lifetime, or where enough others wait.
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
