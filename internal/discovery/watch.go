// Package discovery asks the service that knows the servers: calls, watches and the reading of their answers.
package discovery

import (
	"encoding/binary"
	"fmt"
	"hash/fnv"
	"net"
	"sync"
	"time"

	"github.com/rs/zerolog"
	"github.com/valyala/fasthttp"

	"ledgespread/brain"
	"ledgespread/internal/counters"
)

// Parts of the time that the settings let a sidecar go without asking.
const (
	holdPart  = 0.5  // a call may be held for so long
	gracePart = 0.3  // its answer is waited for so long beyond that
	pacePart  = 0.01 // between two calls that bring nothing; the watch still goes on
	usual     = 10 * time.Second
)

// Watcher follows the list at one address.
type Watcher struct {
	address string
	zones   map[string]int
	every   time.Duration
	seed    uint64
	tell    func(*List)
	client  *fasthttp.HostClient
	counts  *counters.Sheet
	log     zerolog.Logger

	telling sync.Mutex // held while an answer is told
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
	every := time.Duration(askEvery) * time.Microsecond
	if every <= 0 { // a list that is pushed: the settings need not say
		every = usual
	}
	w := &Watcher{address: address, zones: zones, version: version, every: every, seed: seed, tell: tell,
		counts: counts, log: log}
	w.client = &fasthttp.HostClient{Addr: address, MaxConns: 4, MaxIdemponentCallAttempts: 1,
		NoDefaultUserAgentHeader: true, MaxResponseBodySize: 16 << 20,
		Dial: func(at string) (net.Conn, error) { return fasthttp.DialTimeout(at, w.part(gracePart)) }}
	return w
}

func (w *Watcher) part(of float64) time.Duration { return time.Duration(of * float64(w.every)) }

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
	hold := time.Duration(0)
	for {
		began := time.Now()
		list, err := w.call(hold)
		w.reached(err)
		switch current, brought := w.news(round, list, hold == 0); {
		case err != nil && again:
			time.Sleep(w.pause())
			hold = 0
			continue
		case err != nil || !current:
			return
		case !brought && hold > 0:
			// Guards against a service that answers at once, and nothing, for ever.
			time.Sleep(max(0, w.part(pacePart)-time.Since(began)))
		}
		hold = w.part(holdPart)
	}
}

// news tells of an answer, nil for a failed call, if it matters: always of one that was asked for. Two
// watches may end at the same time; guards against the older of their lists being told last.
func (w *Watcher) news(round int, list *List, asked bool) (current, brought bool) {
	w.telling.Lock()
	defer w.telling.Unlock()
	w.mu.Lock()
	current = round == w.round
	if list != nil && list.Version < w.version {
		w.counts.Add(counters.ListsOutdated)
		list = &List{Version: w.version}
	} else if list != nil {
		w.version = list.Version
	}
	w.mu.Unlock()
	switch brought = list != nil && !list.Empty(); {
	case list == nil:
		w.counts.Add(counters.ListsFailed)
		if current || asked {
			w.tell(nil)
		}
	case brought || asked:
		w.counts.Add(counters.ListsTaken)
		w.tell(list)
	}
	return current, brought
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
	most := min(w.part(pacePart)<<w.failed, w.part(holdPart))
	w.failed = min(w.failed+1, 16)
	return most/2 + time.Duration(h.Sum64()%uint64(most))
}

// call asks once.
func (w *Watcher) call(hold time.Duration) (list *List, err error) {
	defer func() {
		// Guards against the end of the watch, and of the sidecar, by an answer that nobody thought of.
		if crash := recover(); crash != nil {
			w.counts.Crashed(w.log, "watch", crash)
			err = fmt.Errorf("crashed: %v", crash)
		}
	}()
	w.mu.Lock()
	from := w.version
	w.mu.Unlock()
	req, resp := fasthttp.AcquireRequest(), fasthttp.AcquireResponse()
	defer fasthttp.ReleaseRequest(req)
	defer fasthttp.ReleaseResponse(resp)
	req.SetRequestURI(fmt.Sprintf("http://%s/api/targets?from=%d&hold_ms=%d", w.address, from,
		hold.Milliseconds()))
	if err := w.client.DoTimeout(req, resp, hold+w.part(gracePart)); err != nil {
		return nil, err
	}
	if resp.StatusCode() != fasthttp.StatusOK {
		return nil, fmt.Errorf("discovery answered %d", resp.StatusCode())
	}
	list, err = Read(resp.Body(), w.zones)
	if err != nil {
		w.counts.Add(counters.ListsMalformed)
		return nil, fmt.Errorf("malformed list: %w", err)
	}
	return list, nil
}
