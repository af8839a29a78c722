package counters

import (
	"fmt"
	"io"
	"slices"
	"sync"
	"sync/atomic"
)

// How a request ended, as the figures call it.
const (
	Succeeded = iota
	Declined
	Aborted
	endings
)

var endingNames = [endings]string{"succeeded", "declined", "aborted"}

// Accounts count requests by class and ending, for those who watch a sidecar. Each request that was taken ends once.
type Accounts struct {
	mu       sync.Mutex
	prefixes []string // never fewer: one that is gone keeps its place and its figures
	ended    []*[endings]atomic.Int64
	taken    atomic.Int64
	over     atomic.Int64
}

// NewAccounts makes accounts for classes of these names, in the order of their places.
func NewAccounts(prefixes []string) *Accounts {
	a := &Accounts{}
	a.Open(prefixes)
	return a
}

// Open adds the classes that are new, and tells the place of each here.
func (a *Accounts) Open(prefixes []string) (places []int) {
	a.mu.Lock()
	defer a.mu.Unlock()
	for _, name := range prefixes {
		at := slices.Index(a.prefixes, name)
		if at < 0 {
			at = len(a.prefixes)
			a.prefixes, a.ended = append(a.prefixes, name), append(a.ended, &[endings]atomic.Int64{})
		}
		places = append(places, at)
	}
	return places
}

// Take books a request that was taken. What it returns is to be called once, at its end; a second call changes nothing.
func (a *Accounts) Take(place int) (end func(ending int)) {
	a.taken.Add(1)
	a.mu.Lock()
	open, figures := true, a.ended[place]
	a.mu.Unlock()
	return func(ending int) {
		if !open {
			return
		}
		open = false
		if ending < endings {
			figures[ending].Add(1)
		}
		a.over.Add(1)
	}
}

// Left is the ending of a request whose client went away: it counts for none.
const Left = endings

// Outstanding is how many requests were taken and have not ended.
func (a *Accounts) Outstanding() int64 {
	over := a.over.Load() // first, or one that ends meanwhile makes it negative
	return a.taken.Load() - over
}

// WriteTo prints a line for each figure, "app.NAME.PREFIX=VALUE". All stand there from the start.
func (a *Accounts) WriteTo(w io.Writer) (n int64, err error) {
	a.mu.Lock()
	prefixes, ended := slices.Clone(a.prefixes), slices.Clone(a.ended)
	a.mu.Unlock()
	for ending, name := range endingNames {
		for place, prefix := range prefixes {
			k, err := fmt.Fprintf(w, "app.%s.%s=%d\n", name, prefix, ended[place][ending].Load())
			if n += int64(k); err != nil {
				return n, err
			}
		}
	}
	k, err := fmt.Fprintf(w, "app.outstanding=%d\n", a.Outstanding())
	return n + int64(k), err
}
