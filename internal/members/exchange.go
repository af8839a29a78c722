package members

// exchange.go: full exchanges of member tables over TCP, and the framing of messages on these connections.

import (
	"encoding/binary"
	"errors"
	"io"
	"net"
	"net/netip"
	"time"

	"ledgespread/decide/membership"
)

// Exchange starts a full exchange with another member in the background: it sends this member's table over TCP and
// merges the table in the reply. It does nothing if maxOutboundExchanges are in progress.
func (m *Members) Exchange(with membership.Name, at membership.Address) {
	target, ok := m.resolve(with, at)
	if !ok {
		return
	}
	select {
	case m.outbound <- true:
	default:
		return
	}
	go func() {
		defer func() { <-m.outbound }()
		timeout := m.exchangeTimeout()
		conn, err := net.DialTimeout("tcp", target.String(), timeout)
		if err != nil {
			m.count("exchanges_failed")
			return
		}
		defer conn.Close()
		conn.SetDeadline(time.Now().Add(timeout))
		table := m.encodeTable()
		if err = writeMessage(conn, table); err == nil {
			m.add("exchanged_bytes_out", len(table))
			err = m.receiveTable(conn, at)
		}
		if err != nil {
			m.count("exchanges_failed")
			return
		}
		m.count("exchanges")
	}()
}

// exchangeTimeout limits one exchange or query on a connection; the minimum is one second.
func (m *Members) exchangeTimeout() time.Duration {
	return max(exchangeTimeoutProbes*time.Duration(m.settings.ProbeInterval)*time.Microsecond, time.Second)
}

// encodeTable returns this member's table in its wire encoding, limited to maxTableBytes.
func (m *Members) encodeTable() (table []byte) {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.node.EncodeTable(maxTableBytes)
}

// receiveTable reads the other member's table from conn and merges it.
func (m *Members) receiveTable(conn net.Conn, from membership.Address) error {
	msg, err := readMessage(conn, maxTableBytes)
	if err != nil {
		return err
	}
	m.add("exchanged_bytes_in", len(msg))
	m.update(func(now membership.Micros) {
		if !m.node.HandleTable(now, from, msg) {
			err = errors.New("message is not a valid member table")
		}
	})
	return err
}

// writeMessage writes a message behind its length, a big-endian uint32.
func writeMessage(writer io.Writer, msg []byte) error {
	_, err := writer.Write(append(binary.BigEndian.AppendUint32(nil, uint32(len(msg))), msg...))
	return err
}

// readMessage reads one message written by writeMessage, at most maxBytes long. It allocates as data arrives, so a
// peer that announces a large message and sends nothing costs no memory.
func readMessage(reader io.Reader, maxBytes int) ([]byte, error) {
	var length [4]byte
	if _, err := io.ReadFull(reader, length[:]); err != nil {
		return nil, err
	}
	size := int64(binary.BigEndian.Uint32(length[:]))
	if size > int64(maxBytes) {
		return nil, errors.New("message exceeds the size limit")
	}
	body, err := io.ReadAll(io.LimitReader(reader, size))
	if err == nil && int64(len(body)) < size {
		err = io.ErrUnexpectedEOF
	}
	return body, err
}

// accept serves incoming connections until the listener is closed. It closes connections from outside of the
// allowed networks, and those beyond maxInboundExchanges.
func (m *Members) accept() {
	for {
		conn, err := m.listener.AcceptTCP()
		if errors.Is(err, net.ErrClosed) {
			return
		}
		if err != nil {
			time.Sleep(time.Millisecond) // e.g. too many open files: avoid a busy loop
			continue
		}
		from := conn.RemoteAddr().(*net.TCPAddr).AddrPort()
		from = netip.AddrPortFrom(from.Addr().Unmap(), from.Port())
		if !m.allowed(from.Addr()) {
			m.count("strangers")
			conn.Close()
			continue
		}
		select {
		case m.inbound <- true:
		default:
			m.count("exchanges_refused")
			conn.Close()
			continue
		}
		go func() {
			defer func() { <-m.inbound }()
			defer conn.Close()
			conn.SetDeadline(time.Now().Add(m.exchangeTimeout()))
			m.serve(conn, encodeAddress(from), from.Addr())
		}()
	}
}

// serve handles one connection. Its first message is a request for the table in JSON, a request to the delegate, or
// another member's table, which is merged and answered with this member's table from before the merge.
func (m *Members) serve(conn net.Conn, from membership.Address, addr netip.Addr) {
	msg, err := readMessage(conn, maxTableBytes)
	switch {
	case err != nil:
	case string(msg) == tableRequest:
		writeMessage(conn, m.tableJSON())
	default:
		if m.self.Delegate != nil {
			if reply, handled := m.self.Delegate.Answer(msg, addr); handled {
				writeMessage(conn, reply)
				return
			}
		}
		table := m.encodeTable()
		ok := false
		m.add("exchanged_bytes_in", len(msg))
		m.update(func(now membership.Micros) { ok = m.node.HandleTable(now, from, msg) })
		if ok && writeMessage(conn, table) == nil {
			m.add("exchanged_bytes_out", len(table))
		}
	}
}
