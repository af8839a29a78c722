package relay

import "ledgespread/brain"

// names are those of requests that are open, or were lately: each is taken until its request's time is up. They are
// forgotten by two generations, not one by one: a due time for each cost more than all else that is done with it.
type names struct {
	span        brain.Micros // a generation's, which no request here outlasts
	turned      brain.Micros // when the younger one began
	now, before map[string]brain.Micros
}

func newNames(span brain.Micros) *names {
	return &names{span: max(span, 1), now: map[string]brain.Micros{}, before: map[string]brain.Micros{}}
}

// taken tells whether a request of this name may still be open.
func (n *names) taken(name string, at brain.Micros) bool {
	return n.now[name] > at || n.before[name] > at
}

// take books a name until then, and tells whether it can: one that is to be kept for longer than a generation is not
// its matter. What is dropped with the older generation has been free for its time: it came before the younger began.
func (n *names) take(name string, at, until brain.Micros) bool {
	if until-at > n.span {
		return false
	}
	if at-n.turned >= n.span {
		if at-n.turned >= 2*n.span { // nothing came for so long: both are over
			clear(n.now)
		}
		n.before, n.now = n.now, n.before
		clear(n.now)
		n.turned = at
	}
	n.now[name] = until
	return true
}
