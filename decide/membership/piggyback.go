package membership

// Piggyback has another module's word ride on all messages of this member, and hands over those of others. say gives the word
// of now, in no more bytes than there is room for; nil: none. heard is called behind all else that a message says. Without
// either, not a byte differs; a member that knows no such words passes them over.
func (n *Node) Piggyback(say func(room int) []byte, heard func(from Name, at Address, word []byte)) {
	n.rides, n.rode = say, heard
}

// Tell sends one member a message, with what there is to tell.
func (n *Node) Tell(now Micros, to Name) {
	n.begin(now)
	if e := n.members[to]; e != nil && e.state <= Suspect && !n.left {
		n.say(to, e.about.Address, kindNews, nil, e)
	}
}

// Spread sends the same to so many by chance.
func (n *Node) Spread(now Micros, many int) {
	n.begin(now)
	if n.left {
		return
	}
	for _, e := range n.some(many, nil) {
		n.say(e.about.Name, e.about.Address, kindNews, nil, e)
	}
}

// Living hands out the others that are not held for dead or gone.
func (n *Node) Living(each func(Name)) {
	for _, e := range n.ring {
		each(e.about.Name)
	}
}
