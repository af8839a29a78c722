package membership

// Acquaint has members be known as if they had joined long ago, without a message: where thousands are simulated, how they
// met is another matter. What is told of them is shared, not copied.
func (n *Node) Acquaint(now Micros, all []About) {
	n.begin(now)
	for i := range all {
		if a := &all[i]; a.Name != n.self.about.Name {
			e := &entry{about: a, life: a.Life, inc: 1, state: Alive, since: n.real}
			n.members[a.Name] = e
			n.ring = append(n.ring, e)
		}
	}
	n.exchangedAt = n.now
	n.turn = len(n.ring)
	n.stand()
}
