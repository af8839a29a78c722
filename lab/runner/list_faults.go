package runner

import (
	"math"
	"syscall"

	"ledgespread/lab/clock"
	"ledgespread/lab/list"
	"ledgespread/lab/plan"
)

// faultList runs a fault on the discovery list.
func (rig *Rig) faultList(event plan.Event) {
	switch event.What {
	case "list_down":
		rig.mark("the discovery list is unreachable")
		from := rig.clock.Now()
		defer rig.beginDisturbance()()
		rig.list.SetDown(true)
		rig.waitUntil(event.At.M() + event.For.M())
		rig.list.SetDown(false)
		rig.mu.Lock()
		rig.outages = append(rig.outages, clock.Interval{From: from, To: rig.clock.Now()})
		rig.mu.Unlock()
		rig.mark("the discovery list is reachable again")
	case "list_late":
		rig.mark("changes of the discovery list are late")
		rig.list.SetLate(event.By.M())
		rig.waitUntil(event.At.M() + event.For.M())
		rig.list.SetLate(0)
	case "list_move":
		rig.moveList()
	case "list_moves":
		for range int(event.Times) {
			rig.moveList()
			moveInterval.Sleep()
		}
	case "list_anew":
		rig.mark("the discovery service restarts, and counts versions from 1 again")
		defer rig.beginDisturbance()()
		rig.list.Restart()
	case "list_odd":
		rig.mark("the discovery list contains an unusable entry")
		rig.list.SetUnusableEntry(true)
		rig.waitUntil(event.At.M() + event.For.M())
		rig.list.SetUnusableEntry(false)
	case "list_slow":
		rig.degradeList(event, list.Trouble{Work: event.By.M()}, event.By.M()*Micros(len(rig.sidecars)) > timelyAnswer)
	case "list_refuse":
		rig.degradeList(event, list.Trouble{Refuse: event.Part}, true)
	case "list_silent":
		rig.degradeList(event, list.Trouble{Silent: event.Part}, true)
	case "list_answers_late":
		rig.degradeList(event, list.Trouble{Late: event.By.M()}, event.By.M() > timelyAnswer)
	case "list_connections_silent":
		rig.mark("connections to the discovery service fall silent")
		defer rig.beginDisturbance()()
		rig.list.SilenceConnections(event.Part, event.For.M().Duration(), event.By.M().Duration())
		rig.waitUntil(event.At.M() + event.For.M())
	case "list_silent_after_call":
		rig.mark("connections to the discovery service fall silent after the next held call")
		rig.list.SilenceAfterHeldCall()
	}
}

// timelyAnswer is how long the discovery service may take for a call while each sidecar still has to know every change
// in time.
const timelyAnswer = 1500 * clock.Milli

// beginDisturbance records that the discovery service can't be relied on from now on until the returned function is
// called.
func (rig *Rig) beginDisturbance() (end func()) {
	rig.mu.Lock()
	defer rig.mu.Unlock()
	disturbance := &clock.Interval{From: rig.clock.Now(), To: math.MaxInt64}
	rig.disturbances = append(rig.disturbances, disturbance)
	return func() {
		rig.mu.Lock()
		defer rig.mu.Unlock()
		disturbance.To = rig.clock.Now()
	}
}

const moveInterval = 300 * clock.Milli

// moveList gives each sidecar a new discovery address and makes it reload its configuration.
func (rig *Rig) moveList() {
	rig.mark("the discovery list moves to another address")
	for _, sidecar := range rig.sidecars {
		if _, err := rig.list.Move(sidecar.Name); err != nil {
			continue
		}
		if _, err := sidecar.Configure(); err == nil {
			sidecar.Signal(syscall.SIGHUP)
		}
	}
}

// degradeList applies trouble to the discovery service for the event's duration. disturbs says that changes may be
// delivered late meanwhile.
func (rig *Rig) degradeList(event plan.Event, trouble list.Trouble, disturbs bool) {
	rig.mark("%s begins", event.What)
	if disturbs {
		defer rig.beginDisturbance()()
	}
	rig.list.SetTrouble(trouble, rig.options.Seed)
	rig.waitUntil(event.At.M() + event.For.M())
	rig.list.SetTrouble(list.Trouble{}, rig.options.Seed)
	rig.mark("%s ends", event.What)
}
