package members

// exchange.go: whole tables, exchanged on connections.

import (
	"encoding/binary"
	"errors"
	"io"
	"net"
	"net/netip"
	"time"

	"ledgespread/decide/membership"
)

// Exchange is the node's: the whole tables, both ways, over a connection.
func (m *Members) Exchange(with membership.Name, at membership.Address) {
	where, ok := m.where(with, at)
	if !ok {
		return
	}
	select {
	case m.out <- true:
	default:
		return
	}
	go func() {
		defer func() { <-m.out }()
		limit := m.patience()
		c, err := net.DialTimeout("tcp", where.String(), limit)
		if err != nil {
			m.count("exchanges_failed")
			return
		}
		defer c.Close()
		c.SetDeadline(time.Now().Add(limit))
		mine := m.table()
		if err = write(c, mine); err == nil {
			m.add("exchanged_bytes_out", len(mine))
			err = m.merge(c, at)
		}
		if err != nil {
			m.count("exchanges_failed")
			return
		}
		m.count("exchanges")
	}()
}

func (m *Members) patience() time.Duration {
	return max(exchangeParts*time.Duration(m.terms.Every)*time.Microsecond, time.Second)
}

func (m *Members) table() (b []byte) {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.node.Table(tableMost)
}

func (m *Members) merge(c net.Conn, from membership.Address) error {
	msg, err := read(c, tableMost)
	if err != nil {
		return err
	}
	m.add("exchanged_bytes_in", len(msg))
	m.turn(func(now membership.Micros) {
		if !m.node.Merge(now, from, msg) {
			err = errors.New("no table")
		}
	})
	return err
}

func write(c io.Writer, msg []byte) error {
	_, err := c.Write(append(binary.BigEndian.AppendUint32(nil, uint32(len(msg))), msg...))
	return err
}

// read takes one message with its length before it; the memory for it is taken as it comes.
func read(c io.Reader, most int) ([]byte, error) {
	var head [4]byte
	if _, err := io.ReadFull(c, head[:]); err != nil {
		return nil, err
	}
	size := int64(binary.BigEndian.Uint32(head[:]))
	if size > int64(most) {
		return nil, errors.New("too long")
	}
	b, err := io.ReadAll(io.LimitReader(c, size))
	if err == nil && int64(len(b)) < size {
		err = io.ErrUnexpectedEOF
	}
	return b, err
}

// accept takes connections: another's table, or a look at this one's.
func (m *Members) accept() {
	for {
		c, err := m.listener.AcceptTCP()
		if errors.Is(err, net.ErrClosed) {
			return
		}
		if err != nil {
			time.Sleep(time.Millisecond) // too many open files: not at once again
			continue
		}
		at := c.RemoteAddr().(*net.TCPAddr).AddrPort()
		at = netip.AddrPortFrom(at.Addr().Unmap(), at.Port())
		if !m.may(at.Addr()) {
			m.count("strangers")
			c.Close()
			continue
		}
		select {
		case m.in <- true:
		default:
			m.count("exchanges_refused")
			c.Close()
			continue
		}
		go func() {
			defer func() { <-m.in }()
			defer c.Close()
			c.SetDeadline(time.Now().Add(m.patience()))
			m.serve(c, address(at), at.Addr())
		}()
	}
}

func (m *Members) serve(c net.Conn, from membership.Address, addr netip.Addr) {
	msg, err := read(c, tableMost)
	switch {
	case err != nil:
	case string(msg) == look:
		write(c, m.spelt())
	default:
		if m.self.Rider != nil {
			if reply, its := m.self.Rider.Answer(msg, addr); its {
				write(c, reply)
				return
			}
		}
		mine := m.table()
		ok := false
		m.add("exchanged_bytes_in", len(msg))
		m.turn(func(now membership.Micros) { ok = m.node.Merge(now, from, msg) })
		if ok && write(c, mine) == nil {
			m.add("exchanged_bytes_out", len(mine))
		}
	}
}
