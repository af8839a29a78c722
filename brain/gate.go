package brain

// gate.go: whether the rules let a visit go to a server.

import (
	"slices"
)

// may is the one gate of all sends: whether the rules let this visit go to this server now.
func (b *Balancer) may(v *visit, be *backend) bool { return b.mayAt(v, be, b.now, v.out) }

// mayAt tells the same for a later time, with so many fetches still out.
func (b *Balancer) mayAt(v *visit, be *backend, at Micros, out int) bool {
	if v.ended || at >= v.until || !be.open() ||
		len(v.fetches) > 0 && (v.once || len(v.fetches) >= v.on.most) ||
		out > 0 && (v.on.effect == "mutating" || !v.on.copies) {
		return false
	}
	if be.coldSince != 0 && be.credit < v.work {
		return false // guards against pushing a cold server over
	}
	return v.harmless(at, be)
}

// onward tells whether some server, but this one, may get the visit when the next wait is over.
func (b *Balancer) onward(v *visit, but *backend, out int) bool {
	return slices.ContainsFunc(b.row, func(be *backend) bool {
		return be != but && b.mayAt(v, be, b.now+v.wait(), out)
	})
}

// harmless tells whether a visit may run again at a server or, nil, anywhere, which is what a bounce says.
func (v *visit) harmless(at Micros, be *backend) bool {
	for _, f := range v.fetches {
		if !f.ran || v.on.effect == "read_like" {
			continue
		}
		if v.on.effect != "tagged" || at >= f.sent+v.on.window {
			return false // guards against a second effect
		}
		if p := v.on; be == nil && (p.inZone || p.inCell) || p.inZone && f.be.zone != be.zone ||
			p.inCell && f.be.cell != be.cell {
			return false // only its group knows the tag
		}
	}
	return true
}
