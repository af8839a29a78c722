package membership

// Piggyback lets another module attach data to every message of this member and receive the data of other
// members. encode returns the data to attach now, at most limit bytes, or nil for none. handle receives a
// sender's data after the rest of its message has been processed. Without Piggyback no byte of a message
// differs, and members that don't use it skip the data of others.
func (n *Node) Piggyback(encode func(limit int) []byte, handle func(from Name, at Address, data []byte)) {
	n.encodePiggyback, n.handlePiggyback = encode, handle
}

// SendUpdates sends one member a gossip message with the pending updates and the piggybacked data.
func (n *Node) SendUpdates(now Micros, to Name) {
	n.advanceClock(now)
	if member := n.members[to]; member != nil && member.state <= Suspect && !n.left {
		n.sendMessage(to, member.info.Address, kindGossip, nil, member)
	}
}

// SendUpdatesRandomly sends the message that SendUpdates sends to count randomly chosen members.
func (n *Node) SendUpdatesRandomly(now Micros, count int) {
	n.advanceClock(now)
	if n.left {
		return
	}
	for _, member := range n.randomLiving(count, nil) {
		n.sendMessage(member.info.Name, member.info.Address, kindGossip, nil, member)
	}
}

// EachLiving calls visit with the name of every other member that is alive or suspected.
func (n *Node) EachLiving(visit func(Name)) {
	for _, member := range n.living {
		visit(member.info.Name)
	}
}
