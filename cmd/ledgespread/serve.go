package main

import (
	"context"
	"fmt"
	"io"
	"os"
	"os/signal"
	"runtime/debug"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/rs/zerolog"

	"ledgespread/brain"
	"ledgespread/internal/console"
	"ledgespread/internal/counters"
	"ledgespread/internal/extensions"
	"ledgespread/internal/handover"
	"ledgespread/internal/inbound"
	"ledgespread/internal/live"
	"ledgespread/internal/outbound"
	"ledgespread/internal/peers"
	"ledgespread/internal/relay"
	"ledgespread/internal/rollouts"
	"ledgespread/internal/site"
)

// The parts of the limits that each side may use. What is left of the sockets is for the listeners,
// discovery and the runtime; what is left of the memory, for stacks, buffers and the kernel's share.
const (
	clientsPart, serversPart = 0.45, 0.35
	heldPart                 = 0.9  // of the servers' part, as visits held at once
	heapPart                 = 0.65 // half of that while two processes of one sidecar live: they share the limits
	answersPart              = 4    // of the memory, for answers while they are read
	calmHeap                 = 400  // percent the heap may grow between collections, as long as memory lasts

	attendEvery = 100 * time.Millisecond // figures are so old at the most, and what another process wrote is read so soon
	firstList   = 2 * time.Second        // beside an old process, or where it is pushed, the first list is waited for so long
)

// signals are those that the program hears.
type signals struct {
	reload chan os.Signal // several close together are one: the file is read after the last
	stop   chan os.Signal
}

// hearSignals has signals heard from now on, also while the configuration is read: one that came before would end the process.
func hearSignals() signals {
	heard := signals{make(chan os.Signal, 1), make(chan os.Signal, 1)}
	signal.Notify(heard.reload, syscall.SIGHUP)
	signal.Notify(heard.stop, syscall.SIGTERM, syscall.SIGINT)
	return heard
}

// serve puts the parts together and stays until it is told to stop. SIGHUP has it read its file again.
func serve(file, with string, b *site.Manifest, fitted *extensions.Extensions, tally time.Duration, heard signals, log zerolog.Logger) error {
	again, stop := heard.reload, heard.stop
	live.Cores(b)
	heap(b, 1)
	debug.SetGCPercent(calmHeap)

	counts := &counters.Sheet{}
	var running *live.Sidecar
	runs := make(chan struct{}) // closed when it is there
	b, roll, err := carried(file, b, fitted, counts, func(from string, whole []byte) error {
		<-runs
		_, err := running.Apply(from, whole)
		return err
	}, log)
	if err != nil {
		return err
	}
	toClients, toServers := clientsPart*float64(b.Sockets), serversPart*float64(b.Sockets)
	out := outbound.New(b.Span("allowed.conn_idle_us"), b.Span("allowed.connect_timeout_us"), int(toServers),
		b.MemoryMB<<20/answersPart, b.Loads(), counts, log)
	var others *peers.Peers
	if allowed, _ := b.Site["allowed.peer_messages"].(bool); allowed && b.PeerListen != "" {
		var err error
		if others, err = peers.Open(b.PeerListen, b.Console != "", b.Peers, counts, log); err != nil {
			return err
		}
		defer others.Close()
	}
	r, err := relay.New(b, int(heldPart*toServers), out, others, counts, log)
	if err != nil {
		return err
	}
	if fitted.Messages != nil && others != nil {
		r.Bound(b, float64(fitted.Messages.Bytes))
	}
	var in atomic.Pointer[inbound.Inbound]
	before, replaced := 0, func() bool { return false }
	if b.Console != "" {
		if before, replaced, err = attended(b, r, &in, counts, log); err != nil {
			return err
		}
	}
	group, err := joined(b, fitted, r, others, before != 0, roll, log)
	if err != nil {
		return err
	}
	go r.Run()
	if tally > 0 {
		r.Tally(brain.Micros(tally.Microseconds()))
	}
	// An old process serves meanwhile: no hurry, but the list that it was told counts here too. So does what an agent has that
	// pushes it: guards against visits sent by a saved list to servers that left since.
	if before != 0 || r.Pushed() {
		select {
		case <-r.Listed():
		case <-time.After(firstList):
		case s := <-stop: // nobody was let in yet
			log.Info().Stringer("signal", s).Msg("ended before it served")
			return nil
		}
	}
	if others != nil {
		go others.Hear(r.Heard)
	}
	clients, err := inbound.Listen(b, int(toClients), r, counts, log)
	if err != nil {
		return err
	}
	if group != nil {
		clients.More = group
	}
	if roll != nil {
		clients.More = both{group, roll}
	}
	broken := make(chan error, 1)
	go func() { broken <- clients.Serve() }()
	if before != 0 {
		if err := clients.Steer(); err != nil {
			log.Warn().Err(err).Msg("new clients can't be kept from the old process")
		}
		if others != nil {
			others.Steer()
		}
	}
	in.Store(clients)
	running = live.New(b, r, clients, counts, log)
	if group != nil {
		running.Ahead = func(next *site.Manifest) {
			_, longest := next.Timeouts()
			group.Linger(time.Duration(longest) * time.Microsecond)
		}
	}
	close(runs)
	if b.Streams > 1 {
		log.Info().Int("told", b.Streams).Msg("allowed.multiplex is kept to one: a connection carries one visit at a time")
	}
	log.Info().Str("listen", b.Listen).Str("discovery", b.Discovery).Msg("serving")

	ended := make(chan error, 1)
	for {
		select {
		case <-again:
			reload(file, with, running, fitted, roll, counts, log)
		case s := <-stop:
			log.Info().Stringer("signal", s).Msg("stopping")
			stop, broken = nil, nil
			if group != nil && replaced() { // the new process of this sidecar takes the name over, and the address
				group.Hand()
			} else if group != nil {
				group.Leave()
			}
			if b.Console != "" { // a new process may be here
				heap(b, 2)
			}
			go func() {
				clients.Stop()
				ended <- nil
			}()
		case err = <-broken:
			ended <- err
		case err = <-ended:
			log.Info().Object("counters", counts).Msg("ended")
			return err
		}
	}
}

// reload takes the file as it is now, and looks at the file of extensions, all of which needs a restart. Guards against a sidecar that
// is told half: where either can't be read, or would not do for a start, nothing changes.
func reload(file, with string, running *live.Sidecar, fitted *extensions.Extensions, roll *rollouts.Rollouts,
	counts *counters.Sheet, log zerolog.Logger) {
	fits, err := extensions.Read(with)
	var text []byte
	if err == nil {
		text, err = os.ReadFile(file)
	}
	if err == nil && roll != nil { // what is wrong with the file is told by its own lines, not by those of what lies over it
		err = sound(file, text)
	}
	if err != nil {
		counts.Add(counters.ReloadsRefused)
		log.Warn().Err(err).Msg("configuration refused; the old one stays in force")
		return
	}
	apply := func(whole []byte) error {
		_, err := running.Apply(file, whole)
		return err
	}
	if roll != nil {
		err = roll.Laid(text, apply)
	} else {
		err = apply(text)
	}
	if err != nil {
		return // it is told
	}
	if differ := extensions.Differ(fitted, fits); len(differ) > 0 {
		log.Info().Str("from", with).Strs("need_a_restart", differ).Msg("extensions read again")
	}
}

// heap bounds what the collector lets stand, where so many processes share the memory.
func heap(b *site.Manifest, among float64) {
	debug.SetMemoryLimit(int64(heapPart / among * float64(b.MemoryMB) * (1 << 20)))
}

// follow looks what another process of this sidecar writes down, and whether the one that was here before lives still. It is
// no part of the relay's turn: guards against visits that wait for a slow disk.
func follow(b *site.Manifest, book *handover.State, before int, r *relay.Relay) {
	for ; ; time.Sleep(attendEvery) {
		if hosts, anew := book.Changed(); anew {
			r.TakeOver(hosts)
		}
		if before != 0 && !handover.Lives(before) {
			before = 0
			heap(b, 1)
		}
	}
}

// attended has the second address served, and takes over which servers are out by hand. before is the process that serves
// at this sidecar's place still, 0 if there is none; replaced tells whether another has come to it since. in is not there until clients may come.
func attended(b *site.Manifest, r *relay.Relay, in *atomic.Pointer[inbound.Inbound], counts *counters.Sheet,
	log zerolog.Logger) (before int, replaced func() bool, err error) {
	book, before := handover.Open(os.TempDir(), b.Name, b.Listen, log)
	r.Inherit(book.Out())
	book.Write()
	r.Attend(brain.Micros(attendEvery.Microseconds()))
	if before != 0 {
		heap(b, 2)
	}
	go follow(b, book, before, r)
	served := func(do func(*inbound.Inbound)) func() {
		return func() {
			if in := in.Load(); in != nil {
				do(in)
			}
		}
	}
	staff, err := console.Listen(b.Console, b.Sockets, console.Sidecar{
		Ready: func() bool {
			in := in.Load()
			return in != nil && in.Ready()
		},
		Figures: func(w io.Writer) {
			served(func(in *inbound.Inbound) { in.Accounts().WriteTo(w) })()
			listed, avoided := r.Fleet()
			fmt.Fprintf(w, "app.forwards=%d\napp.discovered=%d\napp.ejected=%d\n",
				counts[counters.FetchesWritten].Load(), listed, avoided)
		},
		Server: func(ctx context.Context, id string, out bool) error {
			return book.Change(ctx, func() ([]string, error) { return r.ByHand(id, out) })
		},
		OutOfService: served((*inbound.Inbound).OutOfService),
		InService:    served((*inbound.Inbound).InService),
	}, counts, log)
	if err != nil {
		return 0, nil, err
	}
	go func() {
		err := staff.Serve()
		log.Error().Err(err).Msg("the second address ended")
	}()
	return before, book.Replaced, nil
}
