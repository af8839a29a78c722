package connlimit

import (
	"time"

	"ledgespread/internal/counters"
)

const (
	mayGo    = 2 * time.Second // an idle client's connection may be closed after this
	slowest  = LastWord / 2    // a listener's patience, if nothing else is said
	lookAway = LastWord / 200  // how often those who wait for a place look again
	lingered = 2 * lookAway    // a connection that lingers for so long goes first where others wait for a place
)

// evictReason is why a connection loses its place to one that waits. The first ones go first.
type evictReason uint8

const (
	hasLingered evictReason = iota // it was shut, and had its moment
	idleForLong
	newAndSilent
	slowFirstMessage
	idleAtAll
	evictReasons
)

var evictReasonNames = [evictReasons]string{hasLingered: "has lingered", idleForLong: "idle for long", newAndSilent: "new and silent",
	slowFirstMessage: "slow first message", idleAtAll: "idle"}

// evict shuts a connection for good. The listener's lock is held, so that whoever finds it evicted also finds that nothing can be written to
// it any more: a request that came just then gets no empty answer. Close is still to be called.
func (c *client) evict() {
	c.evicted = true
	c.half()
}

// evictOne closes a connection that carries nothing: one that lingers, if it had its moment; the one that has been idle for longest, if it
// may go; else the newcomer that has said nothing for longest; else the one that brings its first message for longest, if that is slow; else
// any that is idle. Where one lingers, that moment is waited for first. So neither silent clients lock out others, nor clients that ask once
// and stay, hundreds a second: waiting until they may go would let in only so many as there are places.
func (l *Listener) evictOne() bool {
	l.mu.Lock()
	chosen, reason := l.leastWorthy(time.Now())
	evicted := chosen != nil && l.tryEvict(chosen, reason)
	l.mu.Unlock()
	if !evicted {
		return false
	}
	chosen.close.Do(func() {}) // its place is wanted now: no lingering
	chosen.leave()
	chosen.TCPConn.Close()
	return true
}

// leastWorthy is the connection that goes first, and why; nil: none may go, or one is about to. The lock is held.
func (l *Listener) leastWorthy(now time.Time) (*client, evictReason) {
	var first [evictReasons]*client
	lingers := false
	for c := range l.here {
		reason, may := l.evictable(c, now)
		if !may {
			lingers = lingers || c.at == connClosing
			continue
		}
		if first[reason] == nil || c.since.Before(first[reason].since) {
			first[reason] = c
		}
	}
	for reason, c := range first {
		if lingers && evictReason(reason) > idleForLong {
			break
		}
		if c != nil {
			return c, evictReason(reason)
		}
	}
	return nil, evictReasons
}

// evictable tells whether a connection may lose its place, and why. One whose client has sent what nobody read yet stays: it carries something.
// The lock is held.
func (l *Listener) evictable(c *client, now time.Time) (reason evictReason, may bool) {
	switch {
	case c.at == connClosing:
		return hasLingered, c.since.Before(now.Add(-lingered))
	case c.evicted || c.at == connActive:
		return evictReasons, false
	case c.at == connReading:
		return slowFirstMessage, c.since.Before(now.Add(-l.Patience))
	case c.at == connNew:
		reason = newAndSilent
	case c.since.Before(now.Add(-mayGo)):
		reason = idleForLong
	default:
		reason = idleAtAll
	}
	return reason, c.input.ifSilent(func() {})
}

// tryEvict shuts a connection, unless a message of it came just now. The lock is held.
func (l *Listener) tryEvict(c *client, reason evictReason) bool {
	switch reason {
	case hasLingered:
		c.evict()
		return true
	case slowFirstMessage:
		c.tellTooSlow()
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

// tooSlow is the answer to a first message that is slow while others wait.
const tooSlow = "HTTP/1.1 408 Request Timeout\r\nConnection: close\r\nContent-Length: 0\r\n\r\n"

// tellTooSlow answers before the connection is shut: the message's last byte may just have been read, and a request that was read has its
// answer. Nothing was written on this connection yet, so the write waits for nobody.
func (c *client) tellTooSlow() {
	c.TCPConn.Write([]byte(tooSlow))
}

// EvictIdle closes all connections that have carried nothing for so long. One whose client has sent what nobody read yet does carry something:
// on a machine that is late, its request would be lost at a stop.
func (l *Listener) EvictIdle(least time.Duration) {
	var out []*client
	since := time.Now().Add(-least)
	l.mu.Lock()
	for c := range l.here {
		if c.silentState() && !c.since.After(since) && c.input.ifSilent(c.evict) {
			out = append(out, c)
			l.logClosed(c, "idle while clients are sent away")
		}
	}
	l.mu.Unlock()
	for _, c := range out {
		c.Close()
	}
}

// logClosed tells at debug why a connection was closed that carried nothing.
func (l *Listener) logClosed(c *client, reason string) {
	if entry := l.log.Debug(); entry.Enabled() {
		entry.Stringer("client", c.RemoteAddr()).Dur("since", time.Since(c.since)).Str("reason", reason).Msg("client connection closed")
	}
}
