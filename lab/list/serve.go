package list

import (
	"net/http"
	"strconv"
	"time"
)

// serve serves one call: the full list, or with the query parameter "from" a watch for later versions.
func (l *List) serve(caller *reader, response http.ResponseWriter, request *http.Request) {
	from, err := strconv.Atoi(request.URL.Query().Get("from"))
	watches := err == nil
	hold, _ := strconv.Atoi(request.URL.Query().Get("hold_ms"))
	l.mu.Lock()
	defer l.mu.Unlock()
	call := l.startRecord(caller)
	fault, late := l.drawFault()
	if watches && hold > 0 {
		l.heldCallBegins(caller)
	}
	if caller.isSilent(request) { // not even a refusal is written
		fault = noFault
	}
	switch fault {
	case refusedFault:
		l.refuse(call, response)
		return
	case silentFault:
		l.unlocked(func() { <-request.Context().Done() })
		call.finish(l, CallDropped)
		return
	}
	if free := l.queueFreeAt; free > call.Began {
		l.unlocked(func() { l.sleepUntil(free) })
	}
	if watches && hold > 0 {
		l.holdCall(request, from, time.Duration(min(hold, maxHoldMillis))*time.Millisecond)
	}
	if late > 0 && !l.down { // other calls are answered meanwhile
		until := l.clock.Now() + late
		l.unlocked(func() { l.sleepUntil(until) })
	}
	if caller.isSilent(request) {
		l.awaitEnd(call)
		return
	}
	if l.down {
		l.refuse(call, response)
		return
	}
	l.write(call, response, watches, from)
}

// startRecord starts the record of a call. l.mu is held.
func (l *List) startRecord(caller *reader) *Call {
	l.Calls++
	call := &Call{Reader: caller.name, Address: caller.at, Began: l.clock.Now(), Ended: -1}
	l.calls = append(l.calls, call)
	return call
}

// finish completes the record of a call. l.mu is held.
func (c *Call) finish(l *List, how string) {
	c.Ended = l.clock.Now()
	c.Outcome = how
}

// unlocked calls do without l.mu, which is held before and after.
func (l *List) unlocked(do func()) {
	l.mu.Unlock()
	defer l.mu.Lock()
	do()
}

// refuse answers a call with a 503. l.mu is held.
func (l *List) refuse(call *Call, response http.ResponseWriter) {
	l.Failed++
	call.finish(l, CallRefused)
	l.unlocked(func() {
		response.Header().Set("Connection", "close")
		response.WriteHeader(http.StatusServiceUnavailable)
	})
}

// write answers a call and records which version was sent to its reader. l.mu is held.
func (l *List) write(call *Call, response http.ResponseWriter, watches bool, from int) {
	from += l.versionOffset
	whole := !watches || from > l.seq || from < l.versionOffset+1 || l.forms.FullFraction > 0 && l.random.Float() < l.forms.FullFraction
	body, seq := l.render(call.Reader, whole, from), l.seq
	var err error
	l.unlocked(func() {
		response.Header().Set("Content-Length", strconv.Itoa(len(body)))
		if _, err = response.Write(body); err == nil {
			err = http.NewResponseController(response).Flush()
		}
	})
	if err != nil {
		call.finish(l, CallDropped)
		return
	}
	call.finish(l, CallAnswered)
	call.Seq = seq
	l.deliveries = append(l.deliveries, Delivery{call.Reader, seq, l.clock.Now(), call.Began})
}

// holdCall waits until the list has a later version than from, the hold time passes or the reader cancels the
// call. l.mu is held, and released while waiting.
func (l *List) holdCall(request *http.Request, from int, hold time.Duration) {
	timeout := time.After(hold)
	for !l.down && from >= l.seq-l.versionOffset {
		changed := l.changed
		l.mu.Unlock()
		ended := false
		select {
		case <-changed:
		case <-timeout:
			ended = true
		case <-request.Context().Done():
			ended = true
		}
		l.mu.Lock()
		if ended {
			return
		}
	}
}

// callFault is the fault that one call meets.
type callFault uint8

const (
	noFault callFault = iota
	refusedFault
	silentFault
)

// drawFault draws the fault that a new call meets, and the delay of its answer. l.mu is held.
func (l *List) drawFault() (fault callFault, late Micros) {
	trouble, now := l.trouble, l.clock.Now()
	chance := l.random.Float()
	if trouble.Late > 0 {
		late = Micros(l.random.Float() * float64(trouble.Late))
	}
	switch {
	case chance < trouble.Refuse:
		return refusedFault, 0
	case chance < trouble.Refuse+trouble.Silent:
		return silentFault, 0
	case trouble.Work > 0 && max(l.queueFreeAt, now)+trouble.Work > now+maxQueueWait:
		return refusedFault, 0
	case trouble.Work > 0:
		l.queueFreeAt = max(l.queueFreeAt, now) + trouble.Work
	}
	return noFault, late
}

func (l *List) sleepUntil(at Micros) { (at - l.clock.Now()).Sleep() }
