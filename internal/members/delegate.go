package members

// delegate.go: the Delegate interface, the methods that Members offers to a delegate, and queries over connections.

import (
	"errors"
	"net"
	"net/netip"
	"time"

	"ledgespread/decide/membership"
)

// Delegate is a module that attaches its own messages to membership messages and transfers larger contents over
// membership's connections. All methods but Answer are called with the lock of Members held.
type Delegate interface {
	// Begin is called once, before the node sends or receives anything.
	Begin(now membership.Micros, m *Members)
	// NextMessage returns the message to attach to an outgoing datagram, at most limit bytes long, or nil.
	NextMessage(limit int) []byte
	// Receive handles a message that was attached to another member's datagram.
	Receive(now membership.Micros, from membership.Name, at membership.Address, message []byte)
	// Due returns the time at which Tick is to be called next.
	Due() membership.Micros
	Tick(now membership.Micros)
	// Answer returns the reply to a message from a connection. mine is false if the message is not for this module.
	Answer(msg []byte, from netip.Addr) (reply []byte, mine bool)
}

// Update runs call with the lock held. It does nothing before the node has started.
func (m *Members) Update(call func(now membership.Micros)) { m.update(call) }

// Notify sends a message with the pending updates to one member at once. The caller holds the lock.
func (m *Members) Notify(to membership.Name) { m.node.SendUpdates(m.now(), to) }

// NotifyRandom does the same for count members chosen at random. The caller holds the lock.
func (m *Members) NotifyRandom(count int) { m.node.SendUpdatesRandomly(m.now(), count) }

// EachAlive calls visit for every other member that is not known as dead or left. The caller holds the lock.
func (m *Members) EachAlive(visit func(membership.Name)) { m.node.EachLiving(visit) }

var errBusy = errors.New("too many queries in progress")

// Query sends msg to a member over a new connection and passes the reply, at most maxBytes long, to done. done is
// called from another goroutine, without the lock. Of concurrent queries beyond maxOutboundQueries, each fails at once.
func (m *Members) Query(to membership.Name, at membership.Address, msg []byte, maxBytes int, done func([]byte, error)) {
	target, ok := m.resolve(to, at)
	if !ok {
		go done(nil, errors.New("member has no usable address"))
		return
	}
	select {
	case m.queries <- true:
	default:
		go done(nil, errBusy)
		return
	}
	go func() {
		reply, err := query(target.String(), msg, maxBytes, m.exchangeTimeout())
		<-m.queries
		done(reply, err)
	}()
}

// Query sends msg to the member at an address and returns its reply.
func Query(at string, msg []byte, timeout time.Duration) ([]byte, error) {
	return query(at, msg, maxTableBytes, timeout)
}

// query sends one message over a new connection and reads one reply.
func query(at string, msg []byte, maxBytes int, timeout time.Duration) ([]byte, error) {
	conn, err := net.DialTimeout("tcp", at, timeout)
	if err != nil {
		return nil, err
	}
	defer conn.Close()
	conn.SetDeadline(time.Now().Add(timeout))
	if err := writeMessage(conn, msg); err != nil {
		return nil, err
	}
	return readMessage(conn, maxBytes)
}
