package brain

// outliers.go: what outcomes teach of a server, and which servers sit out.

import (
	"fmt"
)

// account books how a fetch of this or, at the server's owner, of another sidecar ended.
func (b *Balancer) account(be *backend, rc Result, sent Micros, took, work, load float64) {
	if rc == Delivered || rc == Errored || rc == Full {
		be.answered, be.mute, be.fresh = b.now, 0, false
	}
	met := load/work - 1
	load = work * (1 + b.adds*met)
	switch rc {
	case Delivered:
		b.learn(took*be.rating/b.size, work, met)
		be.took, be.work, be.carried = be.took+took, be.work+load, be.carried+work
		be.good++
		if be.outUntil == 0 {
			b.centres[be.zone].add(took, load, work)
		}
		if be.outUntil != 0 && sent >= be.outUntil {
			be.outUntil, be.bad = 0, 0
		} else if be.good > memory/2 {
			be.outSpan = 0
		}
		return
	case Errored:
		be.bad++
	case Full:
		// Refusals come fast: count them as late answers, or the fullest server looks the fastest. They tell
		// nothing of others: guards against turning visits away beside servers that have room.
		be.took, be.work = be.took+b.meanTarget, be.work+load
	case ConnectFailed, Reset: // one is no dead server: connections break between servers that live
		be.bad++
		b.missed(be, "no connection, or it broke")
	default:
		// No answer, and that took longer than answers do; where others came since, it is lost, no sign of a crowd.
		if took > b.expect(be)*work && be.answered <= sent {
			be.took, be.work = be.took+took, be.work+load
		}
		return
	}
	if be.bad >= badLeast && be.bad > badShare*(be.good+be.bad) {
		b.sitOut(be, "errors")
	} else if be.outUntil != 0 && sent >= be.outUntil {
		b.sitOut(be, "trial failed")
	}
}

// learn fits what each visit met adds to an answer: as much again at a server of one core, less at others.
func (b *Balancer) learn(took, work, met float64) {
	for i, x := range []float64{work, work * met, work * met * met, took, took * met} {
		b.fitted[i] = b.fitted[i]*(1-1/fitSpan) + x
	}
	prior, f := enough*b.meanWork, b.fitted
	w, x, xx, t, tx := f[0]+prior, f[1]+prior, f[2]+2*prior, f[3]+2*prior*b.calm, f[4]+3*prior*b.calm
	b.adds = min(max((w*tx-x*t)/max(t*xx-x*tx, 1e-9), leastAdds), 1)
}

// sitOut keeps a server off the ordinary pick, longer each time. Guards against all returning to it at once.
func (b *Balancer) sitOut(be *backend, why string) {
	if be.outUntil > b.now {
		return
	}
	be.outSpan = min(max(2*be.outSpan, 10*firstWait), b.span("obligations.cold_us")/2)
	be.outUntil, be.bad = b.now+Micros(float64(be.outSpan)*(0.75+b.chance()/2)), 0
	b.out.Print(fmt.Sprintf("%x sits out for %d ms: %s", be.id, (be.outUntil-b.now)/1000, why))
}
