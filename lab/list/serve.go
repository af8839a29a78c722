package list

import (
	"net/http"
	"strconv"
	"time"
)

// serve.go: what becomes of a call.

// answer deals with one call.
func (l *List) answer(r *reader, w http.ResponseWriter, q *http.Request) {
	from, err := strconv.Atoi(q.URL.Query().Get("from"))
	watches := err == nil
	hold, _ := strconv.Atoi(q.URL.Query().Get("hold_ms"))
	l.mu.Lock()
	l.Calls++
	call := &Call{Reader: r.name, Address: r.at, Began: l.clock.Now(), Ended: -1}
	l.calls = append(l.calls, call)
	over := func(how string) { call.Ended, call.How = l.clock.Now(), how }
	ails, late := l.turn()
	switch ails {
	case refuses:
		l.Failed++
		over(CallRefused)
		l.mu.Unlock()
		refuse(w)
		return
	case silent:
		l.mu.Unlock()
		<-q.Context().Done()
		l.mu.Lock()
		over(CallDropped)
		l.mu.Unlock()
		return
	}
	if free := l.free; free > call.Began {
		l.mu.Unlock()
		l.sleepUntil(free)
		l.mu.Lock()
	}
	if watches && hold > 0 {
		l.holdCall(q, from, time.Duration(min(hold, longestHold))*time.Millisecond)
	}
	if late > 0 && !l.down { // others are answered meanwhile
		until := l.clock.Now() + late
		l.mu.Unlock()
		l.sleepUntil(until)
		l.mu.Lock()
	}
	if l.down {
		l.Failed++
		over(CallRefused)
		l.mu.Unlock()
		refuse(w)
		return
	}
	from += l.shift
	whole := !watches || from > l.seq || from < l.shift+1 || l.forms.Whole > 0 && l.draw.Float() < l.forms.Whole
	body, seq := l.render(r.name, whole, from), l.seq
	l.mu.Unlock()
	w.Header().Set("Content-Length", strconv.Itoa(len(body)))
	_, err = w.Write(body)
	if err == nil {
		err = http.NewResponseController(w).Flush()
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	if err != nil {
		over(CallDropped)
		return
	}
	over(CallAnswered)
	call.Seq = seq
	l.told = append(l.told, Told{r.name, seq, l.clock.Now(), call.Began})
}

// holdCall waits until there is something newer than a version, or the hold is over, or the reader ends the call. The lock is held, and given up
// meanwhile.
func (l *List) holdCall(q *http.Request, from int, hold time.Duration) {
	over := time.After(hold)
	for !l.down && from >= l.seq-l.shift {
		news := l.news
		l.mu.Unlock()
		ended := false
		select {
		case <-news:
		case <-over:
			ended = true
		case <-q.Context().Done():
			ended = true
		}
		l.mu.Lock()
		if ended {
			return
		}
	}
}

func refuse(w http.ResponseWriter) {
	w.Header().Set("Connection", "close")
	w.WriteHeader(http.StatusServiceUnavailable)
}

// ailment is what becomes of one call.
type ailment uint8

const (
	none ailment = iota
	refuses
	silent
)

// turn draws what becomes of a call that begins now, and by how much its answer is late. The lock is held.
func (l *List) turn() (ails ailment, late Micros) {
	t, now := l.trouble, l.clock.Now()
	chance := l.draw.Float()
	if t.Late > 0 {
		late = Micros(l.draw.Float() * float64(t.Late))
	}
	switch {
	case chance < t.Refuse:
		return refuses, 0
	case chance < t.Refuse+t.Silent:
		return silent, 0
	case t.Work > 0 && max(l.free, now)+t.Work > now+longestQueue:
		return refuses, 0
	case t.Work > 0:
		l.free = max(l.free, now) + t.Work
	}
	return none, late
}

func (l *List) sleepUntil(at Micros) { (at - l.clock.Now()).Sleep() }
