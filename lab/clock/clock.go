// Package clock provides the lab's monotonic clock and its timers.
//
// Backends, discovery and clients of a run all record times from the same Clock, so that their records can be compared
// exactly.
package clock

import (
	"container/heap"
	"runtime"
	"sync"
	"syscall"
	"time"
)

// Micros is a duration in microseconds, or a time in microseconds since the start of the clock.
type Micros int64

// Units of time.
const (
	Milli  Micros = 1_000
	Second Micros = 1_000_000
)

// Span converts a duration to microseconds, rounding towards zero.
func Span(duration time.Duration) Micros { return Micros(duration.Microseconds()) }

// Duration converts microseconds to a time.Duration.
func (m Micros) Duration() time.Duration { return time.Duration(m) * time.Microsecond }

// Clock is a monotonic clock that counts from its start.
type Clock struct{ begun time.Time }

// Start returns a clock that starts at 0 now.
func Start() *Clock { return &Clock{time.Now()} }

// Now returns the time since the clock's start.
func (c *Clock) Now() Micros { return Span(time.Since(c.begun)) }

// Wall returns the Unix time in milliseconds of a time of this clock, as discovery reports it in born_ms.
func (c *Clock) Wall(at Micros) int64 { return c.begun.Add(at.Duration()).UnixMilli() }

// Stopped reports whether stop is closed, which means that the run should end early.
func Stopped(stop <-chan struct{}) bool {
	select {
	case <-stop:
		return true
	default:
		return false
	}
}

// maxSleep is the maximum time that the timer thread sleeps, which limits how late an alarm may be that is set meanwhile.
const maxSleep = 200 * time.Microsecond

// Alarms runs functions at set times on one thread, which sleeps in the kernel because the Go runtime's timers can be a
// millisecond late. The functions must not block.
type Alarms struct {
	clock     *Clock
	mu        sync.Mutex
	due       queue
	scheduled uint64
	late      *Lateness
	ended     chan struct{}
	done      chan struct{}
}

// alarm is a scheduled function; number is its position in the order of the calls of At.
type alarm struct {
	at     Micros
	number uint64
	do     func()
}

// queue is a heap of alarms by time, then by number.
type queue []alarm

func (q queue) Len() int { return len(q) }
func (q queue) Less(i, j int) bool {
	return q[i].at < q[j].at || q[i].at == q[j].at && q[i].number < q[j].number
}
func (q queue) Swap(i, j int) { q[i], q[j] = q[j], q[i] }
func (q *queue) Push(x any)   { *q = append(*q, x.(alarm)) }
func (q *queue) Pop() any {
	last := (*q)[len(*q)-1]
	(*q)[len(*q)-1].do = nil
	*q = (*q)[:len(*q)-1]
	return last
}

// NewAlarms starts the timer thread. The caller must stop it with Close.
func (c *Clock) NewAlarms() *Alarms {
	alarms := &Alarms{clock: c, late: &Lateness{}, ended: make(chan struct{}), done: make(chan struct{})}
	go alarms.run()
	return alarms
}

// At schedules do for a time; if this is past, do runs at once. Functions for the same time run in the order of the
// calls of At.
func (a *Alarms) At(at Micros, do func()) {
	a.mu.Lock()
	a.scheduled++
	heap.Push(&a.due, alarm{at, a.scheduled, do})
	a.mu.Unlock()
}

// Lateness returns statistics of how late the alarms ran.
func (a *Alarms) Lateness() *Lateness { return a.late }

// Close stops the timer thread and waits for its end. Alarms that are not due yet are dropped.
func (a *Alarms) Close() {
	close(a.ended)
	<-a.done
}

// run executes due alarms until Close.
func (a *Alarms) run() {
	runtime.LockOSThread()
	defer close(a.done)
	var ready []alarm
	for {
		select {
		case <-a.ended:
			return
		default:
		}
		now, wait := a.clock.Now(), Span(maxSleep)
		a.mu.Lock()
		for len(a.due) > 0 && a.due[0].at <= now {
			ready = append(ready, heap.Pop(&a.due).(alarm))
		}
		if len(a.due) > 0 {
			wait = min(wait, a.due[0].at-now)
		}
		a.mu.Unlock()
		for i, dueAlarm := range ready {
			a.late.record(dueAlarm.at, a.clock.Now())
			dueAlarm.do()
			ready[i].do = nil
		}
		if len(ready) == 0 {
			spec := syscall.NsecToTimespec(wait.Duration().Nanoseconds())
			syscall.Nanosleep(&spec, nil)
		}
		ready = ready[:0]
	}
}

// Lateness is a histogram of delays in microseconds, with eight buckets per power of two. It also keeps the intervals in
// which the lab was stalled, because the machine did not run it in time.
type Lateness struct {
	mu      sync.Mutex
	buckets [512]int64
	count   int64
	maximum Micros
	stalls  []Interval
}

// Interval is an interval in which an alarm was late by more than stallThreshold.
type Interval struct{ From, To Micros }

// stallThreshold is the delay from which the lab counts as stalled.
const stallThreshold = 5 * Milli

// record records an alarm that was due at one time and ran at another. Overlapping stalls are merged.
func (l *Lateness) record(due, now Micros) {
	late := max(now-due, 0)
	l.mu.Lock()
	defer l.mu.Unlock()
	l.buckets[bucketOf(late)]++
	l.count++
	l.maximum = max(l.maximum, late)
	if late > stallThreshold {
		if n := len(l.stalls); n > 0 && l.stalls[n-1].To >= due {
			l.stalls[n-1].To = max(l.stalls[n-1].To, now)
		} else {
			l.stalls = append(l.stalls, Interval{due, now})
		}
	}
}

// bucketOf returns the histogram bucket of a delay.
func bucketOf(delay Micros) int {
	if delay < 8 {
		return int(delay)
	}
	power := 0
	for rest := delay; rest >= 16; rest >>= 1 {
		power++
	}
	return min(8+power*8+int(delay>>power)-8, 511)
}

// bucketStart returns the smallest delay in a bucket.
func bucketStart(bucket int) Micros {
	if bucket < 16 {
		return Micros(bucket)
	}
	return Micros(8+bucket%8) << (bucket/8 - 1)
}

// Quantile returns a delay that a fraction q of all alarms stayed below, accurate to an eighth.
func (l *Lateness) Quantile(fraction float64) Micros {
	l.mu.Lock()
	defer l.mu.Unlock()
	left := int64(fraction * float64(l.count))
	for bucket, count := range l.buckets {
		if left -= count; left < 0 {
			return bucketStart(bucket + 1)
		}
	}
	return l.maximum
}

// Max returns the maximum delay.
func (l *Lateness) Max() Micros {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.maximum
}

// Stalls returns the intervals in which the lab was stalled.
func (l *Lateness) Stalls() []Interval {
	l.mu.Lock()
	defer l.mu.Unlock()
	return append([]Interval(nil), l.stalls...)
}

// Sleep pauses the calling goroutine. It uses the runtime's timers, which can be a millisecond late.
func (m Micros) Sleep() { time.Sleep(m.Duration()) }
