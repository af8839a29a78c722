// Package discovery asks the service that knows the servers: calls, watches and the reading of their answers.
package discovery

import (
	"encoding/binary"
	"fmt"
	"hash/fnv"
	"net"
	"runtime/debug"
	"sync"
	"time"

	"github.com/rs/zerolog"
	"github.com/valyala/fasthttp"

	"ledgespread/brain"
	"ledgespread/internal/counters"
)

const (
	grace = 2 * time.Second // an answer is waited for so long beyond the time that the call may hold it
	pace  = grace / 20      // between two calls that bring nothing, so that the watch still goes on
)

// Watcher follows the list at one address.
type Watcher struct {
	address string
	zones   map[string]int
	hold    time.Duration
	seed    uint64
	tell    func(*List)
	client  *fasthttp.HostClient
	counts  *counters.Sheet
	log     zerolog.Logger

	mu      sync.Mutex
	version uint64
	round   int // of the watch that goes on
	failed  uint
	lost    bool
}

// New makes a watcher that holds the list of this version. tell hears each answer that matters, and nil for a
// call that failed; askEvery is how long the settings let a sidecar go without asking.
func New(address string, zones map[string]int, version uint64, askEvery brain.Micros, seed uint64,
	tell func(*List), counts *counters.Sheet, log zerolog.Logger) *Watcher {
	hold := time.Duration(askEvery) * time.Microsecond / 2
	return &Watcher{address: address, zones: zones, version: version, hold: min(max(hold, time.Second), time.Minute),
		seed: seed, tell: tell, counts: counts, log: log,
		client: &fasthttp.HostClient{Addr: address, MaxConns: 4, MaxIdemponentCallAttempts: 1,
			NoDefaultUserAgentHeader: true, MaxResponseBodySize: 16 << 20,
			Dial: func(at string) (net.Conn, error) { return fasthttp.DialTimeout(at, grace) }}}
}

// Watch begins a watch in place of the one that goes on. The first call asks for what is new by now and is
// always told of; those that follow only if they bring something.
func (w *Watcher) Watch() {
	w.mu.Lock()
	w.round++
	round := w.round
	w.mu.Unlock()
	go w.follow(round, false)
}

// Keep watches without being asked, and comes back after a failure.
func (w *Watcher) Keep() { go w.follow(0, true) }

func (w *Watcher) follow(round int, again bool) {
	defer func() {
		// Guards against the end of the sidecar by an answer that nobody thought of.
		if crash := recover(); crash != nil {
			w.counts.Add(counters.Faults)
			w.log.Error().Str("stack", string(debug.Stack())).Msgf("watch crashed: %v", crash)
			w.tell(nil)
		}
	}()
	for hold := time.Duration(0); ; hold = w.hold {
		began := time.Now()
		list, err := w.call(hold)
		w.mu.Lock()
		current := round == w.round
		w.mu.Unlock()
		if err != nil {
			w.counts.Add(counters.ListsFailed)
			w.reached(err)
			if current {
				w.tell(nil)
			}
			if !again {
				return
			}
			time.Sleep(w.pause())
			hold = 0
			continue
		}
		w.reached(nil)
		if !list.Empty() || hold == 0 {
			w.counts.Add(counters.ListsTaken)
			w.tell(list)
		}
		if !current {
			return
		}
		// Guards against a service that answers at once, and nothing, for ever.
		if list.Empty() && hold > 0 {
			time.Sleep(max(0, pace-time.Since(began)))
		}
	}
}

// reached logs when discovery is lost, and when it is back; not each call.
func (w *Watcher) reached(err error) {
	w.mu.Lock()
	defer w.mu.Unlock()
	switch {
	case err != nil && !w.lost:
		w.log.Warn().Err(err).Msg("discovery out of reach")
	case err == nil && w.lost:
		w.log.Info().Msg("discovery back")
		w.failed = 0
	}
	w.lost = err != nil
}

// pause grows with every failure. Guards against a herd at a service that comes back.
func (w *Watcher) pause() time.Duration {
	w.mu.Lock()
	defer w.mu.Unlock()
	var in [16]byte
	binary.BigEndian.PutUint64(in[:], w.seed)
	binary.BigEndian.PutUint64(in[8:], uint64(w.failed))
	h := fnv.New64a()
	h.Write(in[:])
	most := min(grace/8<<w.failed, w.hold)
	w.failed = min(w.failed+1, 16)
	return most/2 + time.Duration(h.Sum64()%uint64(most))
}

// call asks once. An answer older than the list held brings nothing.
func (w *Watcher) call(hold time.Duration) (*List, error) {
	w.mu.Lock()
	from := w.version
	w.mu.Unlock()
	req, resp := fasthttp.AcquireRequest(), fasthttp.AcquireResponse()
	defer fasthttp.ReleaseRequest(req)
	defer fasthttp.ReleaseResponse(resp)
	req.SetRequestURI(fmt.Sprintf("http://%s/api/targets?from=%d&hold_ms=%d", w.address, from, hold.Milliseconds()))
	if err := w.client.DoTimeout(req, resp, hold+grace); err != nil {
		return nil, err
	}
	if resp.StatusCode() != fasthttp.StatusOK {
		return nil, fmt.Errorf("discovery answered %d", resp.StatusCode())
	}
	list, err := Read(resp.Body(), w.zones)
	if err != nil {
		w.counts.Add(counters.ListsMalformed)
		return nil, fmt.Errorf("malformed list: %w", err)
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	if list.Version < w.version {
		w.counts.Add(counters.ListsOutdated)
		return &List{Version: w.version}, nil
	}
	w.version = list.Version
	return list, nil
}
