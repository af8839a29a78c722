package list

import (
	"context"
	"net"
	"net/http"
	"time"
)

// connection is a sidecar's connection to the service. A silent one stays open, and nothing is written to it any more.
type connection struct{ silent bool }

type connectionKey struct{}

// addConnection records a new connection; it is the server's ConnContext hook.
func (r *reader) addConnection(ctx context.Context, conn net.Conn) context.Context {
	r.mu.Lock()
	defer r.mu.Unlock()
	opened := &connection{silent: time.Now().Before(r.silentUntil)}
	r.open[conn] = opened
	return context.WithValue(ctx, connectionKey{}, opened)
}

// removeConnection forgets a closed connection; it is the server's ConnState hook.
func (r *reader) removeConnection(conn net.Conn, state http.ConnState) {
	if state != http.StateClosed {
		return
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	delete(r.open, conn)
}

// isSilent reports whether the connection of a request is silent.
func (r *reader) isSilent(request *http.Request) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return request.Context().Value(connectionKey{}).(*connection).silent
}

// silence makes each open connection silent with the given chance, and those that are opened until a time. It returns
// the connections.
func (r *reader) silence(fraction float64, draw func() float64, until time.Time) (silenced []net.Conn) {
	r.mu.Lock()
	defer r.mu.Unlock()
	for conn, open := range r.open {
		if draw() < fraction {
			open.silent = true
			silenced = append(silenced, conn)
		}
	}
	r.silentUntil = until
	return silenced
}

// SilenceConnections makes this fraction of the open connections of each reader silent, drawn at random, and all those
// that are opened within a time. They stay silent for good or, if resetAfter is not 0, are closed after that time.
func (l *List) SilenceConnections(fraction float64, within, resetAfter time.Duration) {
	l.mu.Lock()
	defer l.mu.Unlock()
	var silenced []net.Conn
	for _, reader := range l.readers {
		silenced = append(silenced, reader.silence(fraction, l.random.Float, time.Now().Add(within))...)
	}
	if resetAfter > 0 {
		time.AfterFunc(resetAfter, func() {
			for _, conn := range silenced {
				conn.Close()
			}
		})
	}
}

// afterCallDelay limits the time from a held call to the silence that it triggers.
const afterCallDelay = 200 * time.Millisecond

// SilenceAfterHeldCall makes all connections of each reader silent for good shortly after its next held call begins.
// At that moment every call of the reader that is open is lost, and the newest has its whole hold before it.
func (l *List) SilenceAfterHeldCall() {
	l.mu.Lock()
	defer l.mu.Unlock()
	for _, reader := range l.readers {
		reader.mu.Lock()
		reader.armed = true
		reader.mu.Unlock()
	}
}

// heldCallBegins triggers the silence that waits for a held call, if there is one. l.mu is held.
func (l *List) heldCallBegins(r *reader) {
	r.mu.Lock()
	triggered := r.armed
	r.armed = false
	r.mu.Unlock()
	if triggered {
		delay := time.Duration(l.random.Float() * float64(afterCallDelay))
		time.AfterFunc(delay, func() { r.silence(1, func() float64 { return 0 }, time.Time{}) })
	}
}

// awaitEnd waits until the service is closed, in place of an answer on a silent connection. l.mu is held.
func (l *List) awaitEnd(call *Call) {
	call.finish(l, CallDropped)
	l.unlocked(func() { <-l.closed })
}
