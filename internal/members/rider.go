package members

import (
	"errors"
	"net"
	"time"

	"ledgespread/decide/membership"
)

// Below is for a rider. Turn makes a call with the lock held, and not at all before this is a member; Tell, Spread and Living are for
// whoever holds it.

func (m *Members) Turn(call func(now membership.Micros)) { m.turn(call) }
func (m *Members) Tell(to membership.Name)               { m.node.Tell(m.now(), to) }
func (m *Members) Spread(many int)                       { m.node.Spread(m.now(), many) }
func (m *Members) Living(each func(membership.Name))     { m.node.Living(each) }

var errBusy = errors.New("too many questions at once")

// Ask asks a member something over a connection of its own, and hands over what it answers, of so many bytes at the most. done is called by
// another goroutine, without the lock.
func (m *Members) Ask(to membership.Name, at membership.Address, msg []byte, most int, done func([]byte, error)) {
	where, ok := m.where(to, at)
	if !ok {
		go done(nil, errors.New("it has no address"))
		return
	}
	select {
	case m.asks <- true:
	default:
		go done(nil, errBusy)
		return
	}
	go func() {
		reply, err := ask(where.String(), msg, most, m.patience())
		<-m.asks
		done(reply, err)
	}()
}

// Ask asks whoever is a member at an address.
func Ask(at string, msg []byte, wait time.Duration) ([]byte, error) {
	return ask(at, msg, tableMost, wait)
}

func ask(at string, msg []byte, most int, wait time.Duration) ([]byte, error) {
	c, err := net.DialTimeout("tcp", at, wait)
	if err != nil {
		return nil, err
	}
	defer c.Close()
	c.SetDeadline(time.Now().Add(wait))
	if err := write(c, msg); err != nil {
		return nil, err
	}
	return read(c, most)
}
