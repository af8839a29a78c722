package discovery_test

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"
	"github.com/rs/zerolog"

	"ledgespread/internal/counters"
	"ledgespread/internal/outbound"
	"ledgespread/internal/relay"
	"ledgespread/internal/site"
)

const (
	promised = 6 * time.Second        // what discovery has while it can be reached is known so long after, by the page
	beyond   = 2 * time.Second        // or, for a call that fell silent, so long after its wait was over
	patience = 2 * time.Second        // the stand-in turns a call away that would wait longer
	goesOn   = 200 * time.Millisecond // a watch goes on if the next call comes within that
)

// crowded stands in for a discovery service that works through calls in turn, each of which takes its time, and turns away what it can't
// queue. Each sidecar has an address of its own there, so that it is known by it.
type crowded struct {
	all       time.Duration // in which it takes one call of each sidecar that begins a watch; for the whole list it takes half as much again,
	continued time.Duration // and this for one call of each that goes on with its watch
	asks      []asker

	mu      sync.Mutex
	seq     int
	made    []time.Time   // by version: when it was made, or could be had again
	free    time.Time     // its queue is worked off
	tipped  string        // refuses: calls are turned away at once, and those that are held are broken; hangs: neither is answered, ever
	changed chan struct{} // closed with each change

	begun                time.Time
	seconds              map[int]int // calls, by second
	calls, refused, bare int
	oldest               time.Duration // knowledge of any sidecar, when it was told of a change
	oldestOf, oldestAt   int           // that sidecar, and the change's version
	stalled              time.Duration
	stop                 chan struct{}
}

// asker is what the stand-in knows of one sidecar.
type asker struct {
	knows    int
	answered time.Time // its last call
	parked   int       // version at which a call of it was held last
	unbound  time.Time // till then what a silent call of it missed counts no sooner, by the page
}

// fellSilent notes a call that gets no answer: what it misses counts 2 s after its wait is over, if that is later than else.
func (a *asker) fellSilent(began time.Time, wait time.Duration) {
	if until := began.Add(wait + beyond); until.After(a.unbound) {
		a.unbound = until
	}
}

func newCrowded(t *testing.T, many int, all, continued time.Duration) (c *crowded, at []string) {
	t.Helper()
	c = &crowded{all: all, continued: continued, asks: make([]asker, many), changed: make(chan struct{}), begun: time.Now(), seconds: map[int]int{},
		stop: make(chan struct{})}
	for range 8 {
		c.made = append(c.made, c.begun)
	}
	c.seq = len(c.made) - 1
	for i := range many {
		ln, err := net.Listen("tcp", "127.0.0.1:0")
		if err != nil {
			t.Fatal(err)
		}
		server := &http.Server{Handler: http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) { c.serve(i, w, r) })}
		t.Cleanup(func() { server.Close() })
		go server.Serve(ln)
		at = append(at, ln.Addr().String())
	}
	t.Cleanup(func() { close(c.stop) })
	go c.watchMachine()
	return c, at
}

// watchMachine adds up by how much the machine itself was late: a sidecar that gets no core can't be told in time.
func (c *crowded) watchMachine() {
	const step, usual = 5 * time.Millisecond, 20 * time.Millisecond
	for {
		select {
		case <-c.stop:
			return
		default:
		}
		from := time.Now()
		time.Sleep(step)
		if late := time.Since(from) - step; late > usual {
			c.mu.Lock()
			c.stalled += late
			c.mu.Unlock()
		}
	}
}

func (c *crowded) serve(i int, w http.ResponseWriter, r *http.Request) {
	from, hold := -1, 0
	fmt.Sscan(r.URL.Query().Get("from"), &from)
	fmt.Sscan(r.URL.Query().Get("hold_ms"), &hold)
	began := time.Now()
	c.mu.Lock()
	a := &c.asks[i]
	c.calls++
	c.seconds[int(began.Sub(c.begun)/time.Second)]++
	if hold == 0 {
		c.bare++
	}
	cost := c.all
	switch {
	case from < 0:
		cost += cost / 2
	case from >= a.knows && began.Sub(a.answered) < goesOn:
		cost = c.continued
	}
	cost /= time.Duration(len(c.asks))
	turn := c.free
	if turn.Before(began) {
		turn = began
	}
	turn = turn.Add(cost)
	wait := time.Duration(hold) * time.Millisecond
	if c.tipped == "hangs" {
		a.fellSilent(began, wait)
		c.mu.Unlock()
		<-r.Context().Done()
		return
	}
	if c.tipped != "" || turn.Sub(began) > patience {
		c.refused++
		c.mu.Unlock()
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	c.free = turn
	c.mu.Unlock()
	time.Sleep(time.Until(turn))
	over := time.NewTimer(time.Until(began.Add(wait)))
	defer over.Stop()
	c.mu.Lock()
	for waits := hold > 0; waits && from >= c.seq && c.tipped == ""; {
		changed := c.changed
		a.parked = c.seq
		c.mu.Unlock()
		select {
		case <-changed:
		case <-over.C:
			waits = false
		case <-r.Context().Done():
			waits = false
		}
		c.mu.Lock()
	}
	switch c.tipped {
	case "refuses":
		c.mu.Unlock()
		panic(http.ErrAbortHandler) // a reset
	case "hangs":
		a.fellSilent(began, wait)
		c.mu.Unlock()
		<-r.Context().Done()
		return
	}
	for v := a.knows + 1; v <= c.seq; v++ {
		counts := c.made[v]
		if later := a.unbound.Add(-promised); later.After(counts) {
			counts = later
		}
		late := time.Since(counts)
		if late > c.oldest {
			c.oldest, c.oldestOf, c.oldestAt = late, i, v
		}
	}
	a.knows, a.answered = c.seq, time.Now()
	text := fmt.Sprintf(`{"seq":%d,"whole":%v,"hosts":[{"host":"s","dial":"127.0.0.1:9","site":"here","class":"m","block":0,`+
		`"health":"in_service","share":1,"born_ms":%d}]}`, c.seq, from < 0, c.seq)
	if from == c.seq {
		text = fmt.Sprintf(`{"seq":%d,"whole":false,"hosts":[]}`, c.seq)
	}
	c.mu.Unlock()
	io.WriteString(w, text)
}

// change makes a new version.
func (c *crowded) change() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.seq++
	c.made = append(c.made, time.Now())
	close(c.changed)
	c.changed = make(chan struct{})
}

// tip has it refuse or hang from now on; or end that. What it has then counts from now on.
func (c *crowded) tip(how string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.tipped = how
	for v := range c.made {
		c.made[v] = time.Now()
	}
	close(c.changed)
	c.changed = make(chan struct{})
}

// count tells how many calls there were, how many were turned away, and how many were not to be held.
func (c *crowded) count() (calls, refused, bare int) {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.calls, c.refused, c.bare
}

// unheard counts sidecars that hold no call at the newest version, nor did since it was made.
func (c *crowded) unheard() (n int) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, a := range c.asks {
		if a.parked < c.seq {
			n++
		}
	}
	return n
}

// within waits until there is nobody left, and tells how many are.
func (c *crowded) within(span time.Duration) (left int) {
	for end := time.Now().Add(span); ; time.Sleep(10 * time.Millisecond) {
		if left = c.unheard(); left == 0 || time.Now().After(end) {
			return left
		}
	}
}

// sidecars starts so many, their module and all but their sockets for requests.
func sidecars(t *testing.T, at []string) {
	t.Helper()
	for i, discovery := range at {
		text := fmt.Sprintf(`{"name":"n%d","listen":"127.0.0.1:0","discovery":"%s","seed":"a%d","limits":{"cores":1,"memory_mb":64,"sockets":64},
			"known":{"seq":7,"whole":true,"hosts":[]},"settings":{"balancers":%d,"me":%d,"my_zone":0,"azs":["here"],"discovery":"on_request",
			"step_us":1000,"path_prefixes":[{"name":"look","effect":"read_like","group":"all","target_latency_us":400000,
			"client_timeout_us":800000,"memory_span_us":500000,"value":1,"late_value":0}],"allowed":{"max_backend_fetches":5,
			"conn_idle_us":10000000,"connect_timeout_us":100000,"cancel":true,"multiplex":1},"obligations":{"cold_from":0.3,
			"cold_us":8000000,"fall_multiple":3,"fall_us":1500000,"ask_every_us":10000000}}}`, i, discovery, i, len(at), i)
		m, err := site.Parse([]byte(text))
		if err != nil {
			t.Fatal(err)
		}
		counts := &counters.Sheet{}
		r, err := relay.New(m, 9, outbound.New(1e6, 1e6, 9, 4<<20, nil, counts, zerolog.Nop()), nil, counts, zerolog.Nop())
		if err != nil {
			t.Fatal(err)
		}
		go r.Run()
	}
}

// A service that takes seconds for one call of each sidecar, and turns away what it can't queue, is tipped over by the start of all of them,
// and by turning all away, or answering nothing, for a while. By themselves all come back to watches, which cost it little, and each is told
// of each change in time; once all watch, no call is turned away any more and none is made that isn't held. Those turned away keep to a
// rate that hardly grows with their number.
func TestCrowded(t *testing.T) {
	slow, half := 4*time.Second, 2*time.Second
	for _, c := range []struct {
		many           int
		all, continued time.Duration
		tipped         string
	}{{5, slow, 0, "refuses"}, {32, slow, 0, "refuses"}, {300, slow, 0, "refuses"}, {32, half, half, "refuses"}, {300, half, half, "refuses"},
		{32, half, 0, "hangs"}, {300, slow, 0, "hangs"}, {32, half, half, "hangs"}, {300, half, half, "hangs"}} {
		t.Run(fmt.Sprintf("%s, %d sidecars, %v for all, %v to go on", c.tipped, c.many, c.all, c.continued), func(t *testing.T) {
			t.Parallel()
			s, at := newCrowded(t, c.many, c.all, c.continued)
			sidecars(t, at)
			var got []string
			say := func(format string, a ...any) { got = append(got, fmt.Sprintf(format, a...)) }
			say("after the start: %d not watching", s.within(25*time.Second))
			s.tip(c.tipped)
			time.Sleep(promised / 2)
			s.change()
			before, _, _ := s.count()
			time.Sleep(promised / 2)
			calls, _, _ := s.count()
			rate := float64(calls-before) / (promised / 2).Seconds()
			say("while it %s: too many calls: %v", c.tipped, rate > 1.5*min(4*float64(c.many), max(100, float64(c.many)/1.5)))
			s.tip("")
			back := time.Now()
			for range 4 { // while they come back
				time.Sleep(promised / 4)
				s.change()
			}
			say("after that: %d not watching", s.within(25*time.Second))
			watching := time.Since(back)
			calls, refused, bare := s.count()
			time.Sleep(promised)
			last, later, barer := s.count()
			say("from then on: %d turned away, %d not held", later-refused, barer-bare)
			s.mu.Lock()
			worst := 0
			for _, n := range s.seconds {
				worst = max(worst, n)
			}
			span := time.Since(s.begun).Seconds()
			t.Logf("all watch %v after it was back; %d calls in %.0f s, %.1f a second, %d in the worst, %.0f a second while it %s, %.1f in the end; %d turned away, %d not held",
				watching.Round(10*time.Millisecond), last, span, float64(last)/span, worst, rate, c.tipped, float64(last-calls)/promised.Seconds(), later, barer)
			t.Logf("oldest knowledge %v (sidecar %d, version %d); the machine was late by %v", s.oldest.Round(10*time.Millisecond), s.oldestOf, s.oldestAt,
				s.stalled.Round(time.Millisecond))
			say("told of each change in time: %v", s.oldest <= promised+s.stalled)
			s.mu.Unlock()
			want := strings.Split(fmt.Sprintf(`after the start: 0 not watching
while it %s: too many calls: false
after that: 0 not watching
from then on: 0 turned away, 0 not held
told of each change in time: true`, c.tipped), "\n")
			if diff := cmp.Diff(want, got); diff != "" {
				t.Errorf("-kept +now:\n%s", diff)
			}
		})
	}
}
