package rollout

import "math"

// Figures are a member's own, which it has anyway: requests since its start.
type Figures struct{ Taken, Ended, Succeeded uint64 }

// Share is of requests within a time: how many ended, and how many of them were succeeded.
type Share struct{ Ended, Succeeded uint64 }

// sample is what came of one probe's time.
type sample struct {
	Share
	open uint64 // requests under way, at its end
}

// trial is a watch that goes on.
type trial struct {
	version Version
	before  Share
	open    uint64 // requests under way, the most seen before
	from    Figures
	begun   Micros
}

// What holds whatever is set.
const (
	before      = 40   // probes that are compared with
	worseChance = 1e-5 // requests that went as before would look so bad by chance so seldom
	worseBy     = 0.02 // and the share fell by so much at least
	longer      = 2    // a watch goes on for so many times as long, where requests are too few
	countMost   = 5000 // requests that are reckoned with; more are scaled down
)

// sample keeps what came since the last. While one is on trial that is none of what was before, which prevents a bad one that makes the
// next bad one look no worse.
func (n *Node) sample() {
	now, last := n.out.Figures(), n.last
	if n.last = now; n.live != n.force || n.applying.Number != 0 {
		return
	}
	n.samples = append(n.samples, sample{Share{now.Ended - last.Ended, now.Succeeded - last.Succeeded}, now.Taken - now.Ended})
	n.samples = n.samples[max(len(n.samples)-before, 0):]
}

// past is what ended lately, under what is in force.
func (n *Node) past() (all Share) {
	for _, s := range n.samples {
		all.Ended += s.Ended
		all.Succeeded += s.Succeeded
	}
	return all
}

// idle tells whether this member had no requests lately, so that it can't tell what a configuration does to them.
func (n *Node) idle() bool { return n.past().Ended == 0 }

// watch begins to look what became of the requests.
func (n *Node) watch(past Share) {
	t := &trial{version: n.cur.Version, before: past, from: n.out.Figures(), begun: n.now}
	for _, s := range n.samples {
		t.open = max(t.open, s.open)
	}
	t.open = max(t.open, t.from.Taken-t.from.Ended)
	n.trial = t
	n.look(t, 1)
}

// look has the figures be looked at, a few times, and says at the end that they are no worse.
func (n *Node) look(t *trial, no Micros) {
	at := t.begun + n.cur.path.Watch*no/looks
	n.due.Put(at, func() {
		if n.trial != t || n.cur.Version != t.version {
			return
		}
		if n.now-at > n.probes(1) { // it stood still: what waits meanwhile is not the configuration's
			t.from, t.begun = n.out.Figures(), n.now
			n.look(t, 1)
			return
		}
		now := n.out.Figures()
		after := Share{now.Ended - t.from.Ended, now.Succeeded - t.from.Succeeded}
		if open := now.Taken - now.Ended; open > t.open { // requests that hang, beyond all that were under way before
			after.Ended += open - t.open
		}
		switch {
		case worse(t.before, after):
			n.end(Worse)
		case no < looks || no < looks*longer && !tells(t.before, after):
			n.look(t, no+1)
		case tells(t.before, after):
			n.end(Fine)
		default:
			n.end(Unsure)
		}
	})
}

func (n *Node) end(v Verdict) {
	n.trial = nil
	n.report(n.mine(), v)
	n.happened(map[Verdict]string{Worse: "worse", Fine: "no_worse", Unsure: "unsure"}[v], n.cur.Version, n.me, "")
	n.weigh()
}

// worse tells whether a share fell by more than chance gives. It asks how likely as few deliveries are, given those before,
// where nothing is known of the rate but these (a uniform prior: the beta-binomial distribution). So few requests, before or
// after, make no verdict by themselves, and many small ones do.
func worse(was, is Share) bool {
	if is.Ended == 0 || was.Ended == 0 || float64(was.Succeeded)/float64(was.Ended)-float64(is.Succeeded)/float64(is.Ended) < worseBy {
		return false
	}
	good, bad := scaled(was)
	up, down := scaled(is)
	all, a, b := up+down, good+1, bad+1
	chance := 0.0
	for k := 0.0; k <= up; k++ {
		chance += math.Exp(choose(all, k) + beta(k+a, all-k+b) - beta(a, b))
	}
	return chance < worseChance
}

// tells whether so many requests are enough to tell by: had none of them been succeeded, it would have been seen.
func tells(was, is Share) bool { return worse(was, Share{Ended: is.Ended}) }

// scaled are those succeeded and those not, of no more than are reckoned with.
func scaled(s Share) (good, bad float64) {
	part := min(1, countMost/float64(s.Ended))
	good = math.Floor(part * float64(s.Succeeded))
	return good, math.Floor(part*float64(s.Ended)) - good
}

func gamma(x float64) float64 { y, _ := math.Lgamma(x); return y }

func beta(a, b float64) float64 { return gamma(a) + gamma(b) - gamma(a+b) }

func choose(all, some float64) float64 { return gamma(all+1) - gamma(some+1) - gamma(all-some+1) }
