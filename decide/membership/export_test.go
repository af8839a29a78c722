package membership

// Forge makes a message of news with one record, as a member that lies would.
func Forge(group string, name Name, life Life, at Address, about Name, inc Incarnation, beat Beat, record byte) []byte {
	liar := New(0, About{Name: name, Life: life, Address: at}, Terms{Group: group, Every: 1}, 1, nil)
	b := putName(append(liar.head(kindNews, 0), record), about)
	if record == recordAlive {
		return b
	}
	return putName(putWord(b, inc, beat), name)
}

// Life is that of the process.
func (n *Node) Life() Life { return n.self.life }
