package rollout

// canaries.go: which members try a configuration first.

import (
	"encoding/binary"
	"hash/fnv"
	"slices"

	"ledgespread/decide/membership"
)

// rankOf computes the rank of a member for a configuration number. All members compute the same ranks, and the
// canaries differ from number to number.
func rankOf(number Number, name Name) Rank {
	hash := fnv.New64a()
	hash.Write(binary.BigEndian.AppendUint64(nil, uint64(number)))
	hash.Write([]byte(name))
	return Rank(membership.RandomBits(hash.Sum64(), uint64(number)) >> 32)
}

// ownRank returns this member's rank for the newest configuration.
func (n *Node) ownRank() Rank { return rankOf(n.newest.Number, n.name) }

// eachCanary calls do for every other live member that would be a canary as far as this member knows.
func (n *Node) eachCanary(do func(Name)) {
	quota, _ := n.canaries()
	n.ports.EachLive(func(name Name) {
		if n.canariesBelow(rankOf(n.newest.Number, name)) < quota {
			do(name)
		}
	})
}

// canaries returns the number of canaries, and how many of them must find the configuration no worse. One
// canary in spareDivisor may be missing, so that the rollout does not wait for a member that has failed meanwhile.
func (n *Node) canaries() (count, required int) {
	living := 1
	n.ports.EachLive(func(Name) { living++ })
	count = min(max(n.newest.policy.Canaries, 1), max(living/3, 1))
	if n.config.DisabledSafeguard == "no-draw" {
		count = living
	}
	return count, count - count/spareDivisor
}

// isAlone reports whether no other member is live.
func (n *Node) isAlone() bool {
	alone := true
	n.ports.EachLive(func(Name) { alone = false })
	return alone
}

// canariesBelow counts the members with a rank below limit that try the configuration or may be about
// to. Idle members don't count. Members that reported nothing are passed over in waves: one wave per
// canaryTimeout, lowest ranks first, each wave twice as large as the one before. The waves prevent all members
// from trying the configuration at once when no reports of the canaries arrive. A member that announced a
// trial counts even after it has failed; otherwise a configuration that crashes its canaries would crash one
// member after another.
func (n *Node) canariesBelow(limit Rank) (count int) {
	quota, _ := n.canaries()
	var lower []Rank
	addLower := func(r Rank) {
		if r < limit {
			lower = append(lower, r)
		}
	}
	n.ports.EachLive(func(name Name) { addLower(rankOf(n.newest.Number, name)) })
	addLower(n.ownRank())
	passedOver := 0
	if waves := n.waited() / n.probeIntervals(canaryTimeout); waves > 0 {
		slices.Sort(lower)
		passedOver = quota * (1<<min(waves, maxWaves) - 1)
	}
	for index, r := range lower {
		if _, reported := n.newest.reports[r]; !reported && index >= passedOver {
			count++
		}
	}
	for r, v := range n.newest.reports {
		if r < limit && v != Idle {
			count++
		}
	}
	return count
}

// waited returns for how long this member has waited for the reports of others. Those that have started together with this one can't
// report before it could.
func (n *Node) waited() Micros {
	if n.judgesSince == 0 {
		return 0
	}
	return n.now - max(n.newest.since, n.judgesSince)
}

// membersBelow counts the live members with a rank below this member's, whatever they reported.
func (n *Node) membersBelow() (count int) {
	mine := n.ownRank()
	n.ports.EachLive(func(name Name) {
		if rankOf(n.newest.Number, name) < mine {
			count++
		}
	})
	return count
}
