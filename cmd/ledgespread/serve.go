package main

import (
	"math"
	"os"
	"os/signal"
	"runtime"
	"runtime/debug"
	"syscall"

	"github.com/rs/zerolog"

	"ledgespread/internal/counters"
	"ledgespread/internal/inbound"
	"ledgespread/internal/outbound"
	"ledgespread/internal/peers"
	"ledgespread/internal/relay"
	"ledgespread/internal/site"
)

// The parts of the limits that each side may use. What is left of the sockets is for the listeners,
// discovery and the runtime; what is left of the memory, for stacks, buffers and the kernel's share.
const (
	clientsPart, serversPart = 0.45, 0.35
	heldPart                 = 0.9 // of the servers' part, as visits held at once
	heapPart                 = 0.6
	calmHeap                 = 400 // percent the heap may grow between collections, as long as memory lasts
)

// serve puts the parts together and stays until it is told to stop.
func serve(b *site.Berth, log zerolog.Logger) error {
	runtime.GOMAXPROCS(max(1, int(math.Ceil(b.Cores))))
	debug.SetMemoryLimit(int64(heapPart * float64(b.MemoryMB) * (1 << 20)))
	debug.SetGCPercent(calmHeap)
	stop := make(chan os.Signal, 1)
	signal.Notify(stop, syscall.SIGTERM, syscall.SIGINT)

	counts := &counters.Sheet{}
	toClients, toServers := clientsPart*float64(b.Sockets), serversPart*float64(b.Sockets)
	out := outbound.New(b.Span("allowed.conn_idle_us"), b.Span("allowed.connect_timeout_us"), int(toServers),
		counts, log)
	var others *peers.Peers
	if allowed, _ := b.Site["allowed.peer_messages"].(bool); allowed && b.PeerListen != "" {
		var err error
		if others, err = peers.Open(b.PeerListen, b.Peers, counts, log); err != nil {
			return err
		}
		defer others.Close()
	}
	r, err := relay.New(b, int(heldPart*toServers), out, others, counts, log)
	if err != nil {
		return err
	}
	in, err := inbound.Listen(b, int(toClients), r, counts, log)
	if err != nil {
		return err
	}
	go r.Run()
	if others != nil {
		go others.Hear(r.Heard)
	}
	broken := make(chan error, 1)
	go func() { broken <- in.Serve() }()
	log.Info().Str("listen", b.Listen).Str("discovery", b.Discovery).Msg("serving")

	select {
	case s := <-stop:
		log.Info().Stringer("signal", s).Msg("stopping")
		in.Stop()
	case err = <-broken:
	}
	log.Info().Object("counters", counts).Msg("ended")
	return err
}
