package inbound

import (
	"net"
	"time"

	"ledgespread/internal/connlimit"
	"ledgespread/internal/counters"
	"ledgespread/internal/exchange"
)

// wait is the wait for the end of a request that was handed to the relay. Whatever the request waits for, it ends
// with an answer, a disconnect of its client, its timeout, or the end of a stop.
type wait struct {
	in      *Inbound
	conn    net.Conn
	request *exchange.Exchange
	began   time.Time     // when the client's timeout began
	timeout time.Duration // the client timeout

	bodyArrived bool // the last byte of a streamed body has arrived, and the relay knows
}

// waitEnd is how a wait ended.
type waitEnd uint8

const (
	answered   waitEnd = iota // the exchange has its answer, and the message has been read to its end
	bodyUnread                // it has its answer, and the rest of the message will not be read: the connection must be closed
	clientGone                // the client has disconnected
	bodyRead                  // of a wait for the body: it has been read to its end, and the request has no answer yet
)

// forEnd waits for the end of the request.
func (w *wait) forEnd() waitEnd {
	if w.request.Upload != nil {
		if end := w.forBody(); end != bodyRead {
			return end
		}
	}
	return w.forAnswer()
}

// forBody waits until a streamed body has been read to its end, or the request has ended before that.
func (w *wait) forBody() waitEnd {
	upload := w.request.Upload
	for {
		select {
		case <-w.request.Done():
			return w.stopReading(answered)
		case <-upload.Received():
		case <-w.in.stopExpired:
		case <-w.in.uploadTicker.next():
		}
		w.observeBody()
		switch {
		case upload.FullyRead():
			return w.stopReading(bodyRead)
		case w.request.ClientGone():
			w.abandon()
			return w.stopReading(clientGone)
		case w.mustEnd() && !upload.Stop():
			return w.refuseUnread()
		}
	}
}

// observeBody tells the relay, once, that the last byte of the body has arrived and the client's timeout has begun.
func (w *wait) observeBody() {
	upload := w.request.Upload
	upload.Observe(time.Now())
	if w.bodyArrived || !upload.Arrived() {
		return
	}
	w.bodyArrived = true
	deadline := upload.Deadline()
	w.began, w.timeout = deadline.Add(-upload.ClientTimeout), upload.ClientTimeout
	w.in.requests.BodyArrived(w.request, deadline)
}

// mustEnd reports whether the request must be answered now, although its body has not been read to its end.
func (w *wait) mustEnd() bool {
	select {
	case <-w.in.stopExpired:
		return true
	default: // at the next tick it would be too late
		return time.Until(w.request.Upload.Deadline()) <= w.in.uploadTicker.interval()
	}
}

// stopReading ends the reading of a streamed body, and returns the end of the wait: bodyUnread in place of
// answered if the body has not been read to its end.
func (w *wait) stopReading(end waitEnd) waitEnd {
	if w.request.Upload.Stop() {
		w.in.listener.EndMessage(w.conn, 0)
		return end
	}
	if end == answered {
		return bodyUnread
	}
	return end
}

// refuseUnread rejects a request whose body will not be read to its end. What was not read was not sent, so the
// request has not run, and a retry is harmless.
func (w *wait) refuseUnread() waitEnd {
	if w.request.Reject(0) {
		w.in.requests.RequestEnded(w.request)
	}
	<-w.request.Done()
	return bodyUnread
}

// forAnswer waits for the answer of a request that has been read to its end.
func (w *wait) forAnswer() waitEnd {
	// Most requests are answered before the first tick. Watching their clients would cost more than the
	// requests.
	watchFrom := w.began.Add(min(w.timeout/watchDelayDivisor, maxWatchDelay))
	for w.timeout >= watchDelayDivisor*w.in.ticker.interval() && time.Now().Before(watchFrom) {
		select {
		case <-w.request.Done():
			return answered
		case <-w.in.ticker.next():
		}
	}
	timeout := time.NewTimer(time.Until(w.began.Add(w.timeout + overdueGrace)))
	defer timeout.Stop()
	clientClosed, stopWatch := connlimit.WatchForClose(w.conn)
	defer stopWatch()
	select {
	case <-w.request.Done():
	case <-w.in.stopExpired: // without an answer now, the request would end with the process
		if w.request.Fail(exchange.Failed) {
			w.in.requests.RequestEnded(w.request)
		}
		<-w.request.Done()
	case <-clientClosed:
		w.abandon()
		return clientGone
	case <-timeout.C:
		w.expire()
		<-w.request.Done()
	}
	return answered
}

// abandon ends a request whose client has disconnected.
func (w *wait) abandon() {
	w.in.counts.Add(counters.RequestsAbandoned)
	w.request.Abandon() // takes effect at once; the relay handles RequestEnded only later
	w.in.requests.RequestEnded(w.request)
}

// expire ends a request at its timeout. The relay has ended it by now, unless it is late or failed.
func (w *wait) expire() {
	if !w.request.Fail(exchange.Overdue) {
		return
	}
	w.in.counts.Add(counters.RequestsTimedOut)
	w.in.requests.RequestTimedOut(w.request)
}
