// Package clock is the one place where the lab reads a clock, and the one thread that wakes it.
//
// All accounts of a run (backends, list, clients) are written in microseconds of the same Clock, so that what two
// stand-ins saw can be compared. This prevents proofs that compare two clocks.
package clock

import (
	"container/heap"
	"runtime"
	"sync"
	"syscall"
	"time"
)

// Micros is a time or a span in whole microseconds; a time counts from the run's start.
type Micros int64

const (
	Milli  Micros = 1_000
	Second Micros = 1_000_000
)

// Span turns a duration into whole microseconds.
func Span(d time.Duration) Micros { return Micros(d.Microseconds()) }

// Duration is the way back.
func (m Micros) Duration() time.Duration { return time.Duration(m) * time.Microsecond }

// Clock runs from its start, monotonic.
type Clock struct{ begun time.Time }

func Start() *Clock { return &Clock{time.Now()} }

func (c *Clock) Now() Micros { return Span(time.Since(c.begun)) }

// Wall is the Unix time, in milliseconds, of a time of this clock: what a list tells as born_ms.
func (c *Clock) Wall(at Micros) int64 { return c.begun.Add(at.Duration()).UnixMilli() }

// Stopped tells whether a run is to end early.
func Stopped(stop <-chan struct{}) bool {
	select {
	case <-stop:
		return true
	default:
		return false
	}
}

// nap bounds one sleep of the waking thread, and so how late an alarm that is set meanwhile may be.
const nap = 200 * time.Microsecond

// Alarms calls functions when they are due, from one thread that sleeps in the kernel: the runtime's own timers
// come up to a millisecond late. A function must not block.
type Alarms struct {
	clock *Clock
	mu    sync.Mutex
	due   queue
	count uint64
	late  *Lateness
	ended chan struct{}
	done  chan struct{}
}

type alarm struct {
	at Micros
	no uint64
	do func()
}

type queue []alarm

func (q queue) Len() int { return len(q) }
func (q queue) Less(i, j int) bool {
	return q[i].at < q[j].at || q[i].at == q[j].at && q[i].no < q[j].no
}
func (q queue) Swap(i, j int) { q[i], q[j] = q[j], q[i] }
func (q *queue) Push(x any)   { *q = append(*q, x.(alarm)) }
func (q *queue) Pop() any {
	last := (*q)[len(*q)-1]
	(*q)[len(*q)-1].do = nil
	*q = (*q)[:len(*q)-1]
	return last
}

// Ring starts the waking thread; Close ends it.
func (c *Clock) Ring() *Alarms {
	a := &Alarms{clock: c, late: &Lateness{}, ended: make(chan struct{}), done: make(chan struct{})}
	go a.run()
	return a
}

// At has do called at that time, or at once where it has passed. Those of one time come in the order of At.
func (a *Alarms) At(at Micros, do func()) {
	a.mu.Lock()
	a.count++
	heap.Push(&a.due, alarm{at, a.count, do})
	a.mu.Unlock()
}

// Late tells how late the alarms came.
func (a *Alarms) Late() *Lateness { return a.late }

func (a *Alarms) Close() {
	close(a.ended)
	<-a.done
}

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
		now, wait := a.clock.Now(), Span(nap)
		a.mu.Lock()
		for len(a.due) > 0 && a.due[0].at <= now {
			ready = append(ready, heap.Pop(&a.due).(alarm))
		}
		if len(a.due) > 0 {
			wait = min(wait, a.due[0].at-now)
		}
		a.mu.Unlock()
		for i, r := range ready {
			a.late.note(r.at, a.clock.Now())
			r.do()
			ready[i].do = nil
		}
		if len(ready) == 0 {
			spec := syscall.NsecToTimespec(wait.Duration().Nanoseconds())
			syscall.Nanosleep(&spec, nil)
		}
		ready = ready[:0]
	}
}

// Lateness keeps how late things came: whole microseconds, by buckets of an eighth of a power of two, and the
// stretches in which the machine stood still for the lab.
type Lateness struct {
	mu      sync.Mutex
	buckets [512]int64
	count   int64
	most    Micros
	still   []Stretch
}

// Stretch is a time in which the lab was late by more than stood.
type Stretch struct{ From, To Micros }

const stood = 5 * Milli

func (l *Lateness) note(due, now Micros) {
	late := max(now-due, 0)
	l.mu.Lock()
	defer l.mu.Unlock()
	l.buckets[bucket(late)]++
	l.count++
	l.most = max(l.most, late)
	if late > stood {
		if n := len(l.still); n > 0 && l.still[n-1].To >= due {
			l.still[n-1].To = max(l.still[n-1].To, now)
		} else {
			l.still = append(l.still, Stretch{due, now})
		}
	}
}

func bucket(v Micros) int {
	if v < 8 {
		return int(v)
	}
	power := 0
	for w := v; w >= 16; w >>= 1 {
		power++
	}
	return min(8+power*8+int(v>>power)-8, 511)
}

func lower(b int) Micros {
	if b < 16 {
		return Micros(b)
	}
	return Micros(8+b%8) << (b/8 - 1)
}

// Quantile is the lateness that this part of all stayed under (to an eighth).
func (l *Lateness) Quantile(q float64) Micros {
	l.mu.Lock()
	defer l.mu.Unlock()
	left := int64(q * float64(l.count))
	for b, n := range l.buckets {
		if left -= n; left < 0 {
			return lower(b + 1)
		}
	}
	return l.most
}

// Most is the greatest lateness.
func (l *Lateness) Most() Micros {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.most
}

// Still are the stretches in which the machine stood still for the lab.
func (l *Lateness) Still() []Stretch {
	l.mu.Lock()
	defer l.mu.Unlock()
	return append([]Stretch(nil), l.still...)
}

// Sleep is for goroutines that may oversleep a little.
func (m Micros) Sleep() { time.Sleep(m.Duration()) }
