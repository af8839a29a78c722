package sidecar

import (
	"context"
	"fmt"
	"io"
	"os"
	"time"

	"ledgespread/brain"
	"ledgespread/internal/console"
	"ledgespread/internal/counters"
	"ledgespread/internal/handover"
	"ledgespread/internal/sharedids"
)

// publishInterval is how often the server counts are published and the file shared with other processes of
// this sidecar is read.
const publishInterval = 100 * time.Millisecond

// finalWriteTimeout is how long the end of the process waits until changes of the servers out of service are written.
const finalWriteTimeout = 100 * time.Millisecond

// openState opens what the processes of this sidecar share, if a console is configured: without one there is no second
// process beside this one.
func (p *process) openState() error {
	if p.Manifest.Console == "" {
		return nil
	}
	p.state, p.predecessor = handover.Open(os.TempDir(), p.Manifest.Name, p.Manifest.Listen, p.Log)
	p.told.open(p.state.Path()+".list", p.Manifest, p.Log)
	return nil
}

// openConsole starts the operators' console, if one is configured, and restores which servers operators took
// out of service. The console works before clients are served.
func (p *process) openConsole() error {
	state := p.state
	if state == nil {
		return nil
	}
	p.shareIDs(state.Path() + ".ids")
	p.relay.RestoreTakenOut(state.OutOfService())
	state.Deliver = p.relay.SetTakenOut
	state.Announce()
	p.relay.PublishFleetEvery(brain.Micros(publishInterval.Microseconds()))
	if p.hasPredecessor() {
		p.limitHeap(2)
	}
	go p.followOtherProcess(state)
	operators, err := console.Listen(p.Manifest.Console, p.Manifest.Sockets, p.consoleCalls(state), p.counts, p.Log)
	if err != nil {
		return err
	}
	go func() {
		err := operators.Serve()
		p.Log.Error().Err(err).Msg("console stopped serving")
	}()
	p.replaced = state.Replaced
	p.closeState = func() {
		state.Close(finalWriteTimeout)
		p.told.close()
	}
	return nil
}

// shareIDs shares the request IDs in use with other processes of this sidecar. Without them a request may be executed by
// one process while it is out at another, but all others are served.
func (p *process) shareIDs(path string) {
	ids, err := sharedids.Open(path)
	if err != nil {
		p.Log.Warn().Err(err).Msg("request IDs aren't shared with other processes of this sidecar")
		return
	}
	p.relay.ShareIDs(ids)
}

// consoleCalls returns the functions behind the operators' calls.
func (p *process) consoleCalls(state *handover.State) console.Sidecar {
	return console.Sidecar{
		Ready: func() bool {
			in := p.inbound.Load()
			return in != nil && in.Ready()
		},
		Figures: func(w io.Writer) {
			if in := p.inbound.Load(); in != nil {
				in.Accounts().WriteTo(w)
			}
			listed, avoided := p.relay.Fleet()
			fmt.Fprintf(w, "app.forwards=%d\napp.discovered=%d\napp.ejected=%d\n", p.counts[counters.AttemptsWritten].Load(), listed, avoided)
		},
		Server: func(ctx context.Context, id string, out bool) error {
			return state.Update(ctx, id, out, func() error { return p.relay.SetOutOfService(id, out) })
		},
		OutOfService: p.availability.setOutOfService,
		InService:    p.availability.setInService,
	}
}

// followOtherProcess reads which servers another process of this sidecar has taken out of service, and what discovery
// has told it, and notices when another process has started or the previous one has ended. It has a goroutine of its own, so
// that a slow disk doesn't delay requests.
func (p *process) followOtherProcess(state *handover.State) {
	go p.told.removeOld()
	running, limited := 1, p.hasPredecessor()
	for ; ; time.Sleep(publishInterval) {
		state.Refresh()
		others := p.otherProcesses(state)
		count := 1 + countRunning(others)
		p.told.follow(p.relay, others)
		if count != running {
			running = count
			p.relay.SetProcesses(count)
		}
		if limited && !p.predecessor.Exists() {
			limited = false
			p.limitHeap(1)
			p.told.follow(p.relay, others) // what it was told last
			go p.told.removeOld()
		}
	}
}

// otherProcesses returns the processes of this sidecar that may run beside this one: the one before it, and the one that was
// started last.
func (p *process) otherProcesses(state *handover.State) (others []handover.Process) {
	if p.hasPredecessor() {
		others = append(others, p.predecessor)
	}
	latest := state.LatestProcess()
	if latest != (handover.Process{}) && latest != p.predecessor && latest != handover.CurrentProcess() {
		others = append(others, latest)
	}
	return others
}

// countRunning returns how many of the processes run.
func countRunning(processes []handover.Process) (count int) {
	for _, process := range processes {
		if process.Exists() {
			count++
		}
	}
	return count
}
