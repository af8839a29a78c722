package outbound

import "time"

const workerIdleTimeout = time.Second // a goroutine without jobs for this long, or for half of it, ends

// workers runs jobs on reused goroutines, so that their stacks need not grow for every attempt. Goroutines
// that a burst started end after it.
type workers chan func()

func (w workers) do(job func()) {
	select {
	case w <- job:
	default:
		go w.loop(job)
	}
}

// loop runs jobs until none has come for a while. The timer is not reset for each job, which would cost as
// much as a channel operation; when it fires, busy says whether there were any.
func (w workers) loop(job func()) {
	timer := time.NewTimer(workerIdleTimeout / 2)
	defer timer.Stop()
	for busy := true; ; {
		if job != nil {
			job()
			busy = true
		}
		select {
		case job = <-w:
		case <-timer.C:
			if !busy {
				return
			}
			busy, job = false, nil
			timer.Reset(workerIdleTimeout / 2)
		}
	}
}
