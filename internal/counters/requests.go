package counters

import (
	"fmt"
	"io"
	"slices"
	"sync"
	"sync/atomic"
)

// Endings of a request, as its client sees it.
const (
	Succeeded = iota
	Declined  // rejected; the client may retry it
	Aborted   // with an error, or without an answer in time
	endings
)

// endingNames are the endings' names in the metrics.
var endingNames = [endings]string{"succeeded", "declined", "aborted"}

// RequestCounters counts requests by class and ending, for the metrics that operators read. Each accepted request
// ends once.
type RequestCounters struct {
	mu       sync.Mutex
	prefixes []string // names of the classes; a removed class keeps its index and its counters
	ended    []*[endings]atomic.Int64
	started  atomic.Int64
	finished atomic.Int64
}

// NewRequestCounters returns counters for classes with these names, in the order of their indexes.
func NewRequestCounters(prefixes []string) *RequestCounters {
	a := &RequestCounters{}
	a.AddClasses(prefixes)
	return a
}

// AddClasses adds the classes that are new, and returns the index of each.
func (a *RequestCounters) AddClasses(prefixes []string) (indexes []int) {
	a.mu.Lock()
	defer a.mu.Unlock()
	for _, name := range prefixes {
		index := slices.Index(a.prefixes, name)
		if index < 0 {
			index = len(a.prefixes)
			a.prefixes, a.ended = append(a.prefixes, name), append(a.ended, &[endings]atomic.Int64{})
		}
		indexes = append(indexes, index)
	}
	return indexes
}

// Begin counts an accepted request of the class with this index. The caller calls end once the request ends;
// later calls of end have no effect. end must not be called concurrently.
func (a *RequestCounters) Begin(index int) (end func(ending int)) {
	a.started.Add(1)
	a.mu.Lock()
	open, counts := true, a.ended[index]
	a.mu.Unlock()
	return func(ending int) {
		if !open {
			return
		}
		open = false
		if ending < endings {
			counts[ending].Add(1)
		}
		a.finished.Add(1)
	}
}

// ClientDisconnected is the ending of a request whose client disconnected. It is not counted under any ending.
const ClientDisconnected = endings

// Outstanding returns the number of accepted requests that have not ended.
func (a *RequestCounters) Outstanding() int64 {
	finished := a.finished.Load() // read first: a request that ends in between must not make the result negative
	return a.started.Load() - finished
}

// WriteTo writes one line "app.NAME.PREFIX=VALUE" for each counter, including those that are zero, and one
// for the outstanding requests.
func (a *RequestCounters) WriteTo(w io.Writer) (n int64, err error) {
	a.mu.Lock()
	prefixes, ended := slices.Clone(a.prefixes), slices.Clone(a.ended)
	a.mu.Unlock()
	for ending, name := range endingNames {
		for index, prefix := range prefixes {
			written, err := fmt.Fprintf(w, "app.%s.%s=%d\n", name, prefix, ended[index][ending].Load())
			if n += int64(written); err != nil {
				return n, err
			}
		}
	}
	written, err := fmt.Fprintf(w, "app.outstanding=%d\n", a.Outstanding())
	return n + int64(written), err
}
