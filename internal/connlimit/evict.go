package connlimit

import (
	"time"

	"ledgespread/internal/counters"
)

const (
	idleEvictAfter           = 2 * time.Second      // an idle connection may be evicted after this
	defaultFirstMessageGrace = MessageTimeout / 2   // the initial value of Listener.FirstMessageGrace
	pollInterval             = MessageTimeout / 200 // between two checks for a free slot, or of the backlog
	minLinger                = 2 * pollInterval     // a connection that has lingered for this long is evicted first
)

// evictReason is why a connection is closed in favor of a new one. Connections with lower values are evicted
// first.
type evictReason uint8

const (
	hasLingered evictReason = iota // its sending half has been shut down for minLinger
	idleForLong
	newAndSilent
	slowFirstMessage
	idleBriefly
	evictReasonCount
)

var evictReasonNames = [evictReasonCount]string{hasLingered: "lingered after its close", idleForLong: "idle for long",
	newAndSilent: "new and sent nothing", slowFirstMessage: "slow first message", idleBriefly: "idle"}

// evict shuts down the sending half for good. The caller holds the listener's lock, so that whoever sees the
// connection as evicted can rely on nothing being written to it any more: a request that arrives just then
// does not get an empty answer. The caller must still call Close.
func (c *clientConn) evict() {
	c.evicted = true
	c.shutdownWrite()
}

// evictOne closes one connection without a request to free its slot, and reports whether it closed any. It
// prefers, in this order and the oldest of each kind: a connection that has lingered for minLinger; one idle
// for idleEvictAfter; a new one that has sent nothing; one whose first message has taken longer than
// FirstMessageGrace; any idle one. While a connection lingers, only the first two kinds are closed, since its slot
// will be free soon.
//
// Silent clients thus cannot lock out others, and neither can clients that send one request and stay
// connected, hundreds a second: if idle connections were kept for idleEvictAfter, only one new client per
// slot could connect in that time.
func (l *Listener) evictOne() bool {
	l.mu.Lock()
	chosen, reason := l.evictionCandidate(time.Now())
	evicted := chosen != nil && l.tryEvict(chosen, reason)
	l.mu.Unlock()
	if !evicted {
		return false
	}
	chosen.closeOnce.Do(func() {}) // its slot is needed at once: a later Close must not linger
	chosen.releaseSlot()
	chosen.TCPConn.Close()
	return true
}

// evictionCandidate returns the connection to be evicted first, and why; nil if none may be evicted, or if
// one that lingers will free its slot soon. The lock is held.
func (l *Listener) evictionCandidate(now time.Time) (*clientConn, evictReason) {
	var oldest [evictReasonCount]*clientConn
	anyLingers := false
	for c := range l.conns {
		reason, ok := l.evictable(c, now)
		if !ok {
			anyLingers = anyLingers || c.state == connClosing
			continue
		}
		if oldest[reason] == nil || c.since.Before(oldest[reason].since) {
			oldest[reason] = c
		}
	}
	for reason, c := range oldest {
		if anyLingers && evictReason(reason) > idleForLong {
			break
		}
		if c != nil {
			return c, evictReason(reason)
		}
	}
	return nil, evictReasonCount
}

// evictable reports whether a connection may be evicted, and why. A connection with unread bytes in its
// socket may not: its client has sent a message. The lock is held.
func (l *Listener) evictable(c *clientConn, now time.Time) (reason evictReason, ok bool) {
	switch {
	case c.state == connClosing:
		return hasLingered, c.since.Before(now.Add(-minLinger))
	case c.evicted || c.state == connActive:
		return evictReasonCount, false
	case c.state == connReading:
		return slowFirstMessage, c.since.Before(now.Add(-l.FirstMessageGrace))
	case c.state == connNew:
		reason = newAndSilent
	case c.since.Before(now.Add(-idleEvictAfter)):
		reason = idleForLong
	default:
		reason = idleBriefly
	}
	return reason, c.input.ifSilent(func() {})
}

// tryEvict evicts a connection unless it has just received part of a message. The lock is held.
func (l *Listener) tryEvict(c *clientConn, reason evictReason) bool {
	switch reason {
	case hasLingered:
		c.evict()
		return true
	case slowFirstMessage:
		c.writeRequestTimeout()
		c.evict()
	default:
		if !c.input.ifSilent(c.evict) {
			return false
		}
	}
	l.counts.Add(counters.ClientsEvicted)
	l.logClosed(c, evictReasonNames[reason])
	return true
}

// requestTimeoutResponse answers a first message that is slow while other clients wait for a slot.
const requestTimeoutResponse = "HTTP/1.1 408 Request Timeout\r\nConnection: close\r\nContent-Length: 0\r\n\r\n"

// writeRequestTimeout answers 408 before the connection is shut down: the last byte of the message may just
// have been read, and every request that was read gets an answer. Nothing has been written on this connection
// before, so the write does not block.
func (c *clientConn) writeRequestTimeout() {
	c.TCPConn.Write([]byte(requestTimeoutResponse))
}

// EvictIdle closes all connections that have been new or idle for minIdle. It spares those with unread bytes
// in their sockets: their clients have sent requests, which a stop on a slow machine would otherwise lose.
func (l *Listener) EvictIdle(minIdle time.Duration) {
	var evicted []*clientConn
	since := time.Now().Add(-minIdle)
	l.mu.Lock()
	for c := range l.conns {
		if c.silentState() && !c.since.After(since) && c.input.ifSilent(c.evict) {
			evicted = append(evicted, c)
			l.logClosed(c, "idle while draining")
		}
	}
	l.mu.Unlock()
	for _, c := range evicted {
		c.Close()
	}
}

// logClosed logs at debug level why a connection without a request was closed.
func (l *Listener) logClosed(c *clientConn, reason string) {
	if entry := l.log.Debug(); entry.Enabled() {
		entry.Stringer("client", c.RemoteAddr()).Dur("since", time.Since(c.since)).Str("reason", reason).Msg("client connection closed")
	}
}
