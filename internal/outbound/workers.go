package outbound

import "time"

const restless = time.Second // a goroutine that has had nothing to do for so long, or half of it, ends

// workers runs jobs on goroutines that are used again. Their stacks need not grow anew for every attempt, and
// after a burst they end.
type workers chan func()

func (c workers) do(job func()) {
	select {
	case c <- job:
	default:
		go c.work(job)
	}
}

// work does jobs until none has come for a while. The timer runs on over jobs and is asked only when it comes whether
// there were any: setting it anew for each costs as much as a channel's hop.
func (c workers) work(job func()) {
	rest := time.NewTimer(restless / 2)
	defer rest.Stop()
	for busy := true; ; {
		if job != nil {
			job()
			busy = true
		}
		select {
		case job = <-c:
		case <-rest.C:
			if !busy {
				return
			}
			busy, job = false, nil
			rest.Reset(restless / 2)
		}
	}
}
