package internal_test

import (
	"fmt"
	"io"
	"strings"
	"sync"
	"testing"
	"time"

	"ledgespread/internal/counters"
	"ledgespread/internal/exchange"
)

// pipelinedRequests returns as many requests with IDs of their own, to be sent at once.
func pipelinedRequests(n int, timeout string) string {
	var text strings.Builder
	for range n {
		id := fmt.Sprintf("X-Request-ID: %d\r", lastRequestID.Add(1))
		fields := strings.NewReplacer("X-Request-ID: 1\r", id, "X-Timeout: 500m", "X-Timeout: "+timeout).Replace(requestFields)
		text.WriteString("GET /look HTTP/1.1\r\n" + fields + "\r\n")
	}
	return text.String()
}

// The time of a request that was sent behind others runs from its last byte on, and not from the answer to the one before
// it. A request whose time is over is rejected at once, in order, and never begins.
func TestPipelinedRequestsKeepTheirTime(t *testing.T) {
	const timeout, work, slack = 500 * time.Millisecond, 200 * time.Millisecond, 100 * time.Millisecond
	var tr trace
	var mu sync.Mutex
	var begun int
	var sent time.Time
	take := func(x *exchange.Exchange) {
		mu.Lock()
		defer mu.Unlock()
		begun++
		told, left := time.Duration(x.TimeLeft)*time.Microsecond, timeout-time.Since(sent)
		if told > left+slack {
			t.Errorf("request %d has %v left, its client waits %v more", begun, told, left)
		}
		time.AfterFunc(work, func() { deliverDone(x) })
	}
	counts := &counters.Set{}
	_, address := startInbound(t, parseConfiguration(t, configuration("", "")), 9, fakeRelay{&tr, take}, counts)
	c := dial(t, address)
	const requests = 6
	mu.Lock()
	sent = time.Now()
	io.WriteString(c, pipelinedRequests(requests, "500m"))
	mu.Unlock()
	var answers []string
	for range requests {
		answers = append(answers, c.readAnswer())
	}
	if took := time.Since(sent); took > timeout+work+4*slack {
		t.Errorf("all answers took %v", took)
	}
	if answers[0] != `200 "done"` || answers[requests-1] != `503 "not now; a retry does no harm"` {
		t.Errorf("answers: %q", answers)
	}
	mu.Lock()
	defer mu.Unlock()
	if rejected := int(counts[counters.RequestsRejected].Load()); begun+rejected != requests || rejected == 0 {
		t.Errorf("%d requests began and %d were rejected, of %d", begun, rejected, requests)
	}
}

// Requests that were read behind another one get their answers when the sidecar stops, in order, and the last answer closes
// the connection. At the end of the stop, those that have not begun are told so.
func TestPipelinedRequestsAreAnsweredAtStop(t *testing.T) {
	for _, test := range []struct {
		name   string
		answer bool // the first request
		want   string
	}{
		{"first is answered", true, `200 "done", 200 "done", 200 "done" close, unexpected EOF`},
		{"first is never answered", false, `502 "no answer from the servers", 503 "not now; a retry does no harm", 503 "not now; a retry does no harm" close, unexpected EOF`},
	} {
		t.Run(test.name, func(t *testing.T) {
			t.Parallel()
			var tr trace
			held := make(chan *exchange.Exchange, 1)
			in, address := startInbound(t, parseConfiguration(t, configuration("", "")), 9, fakeRelay{&tr, holdRepeats(held)}, &counters.Set{})
			c := dial(t, address)
			io.WriteString(c, strings.Replace(pipelinedRequests(3, "3000m"), "Host: api\r\n", "Host: api\r\nX-Retried: 1\r\n", 1))
			first := <-held
			time.Sleep(300 * time.Millisecond) // the others are read
			stopped := make(chan bool)
			go func() { in.Stop(); close(stopped) }()
			for in.Ready() {
				time.Sleep(time.Millisecond)
			}
			if test.answer {
				deliverDone(first)
			}
			var answers []string
			for range 4 {
				answers = append(answers, c.readAnswer())
			}
			if got := strings.Join(answers, ", "); got != test.want {
				t.Errorf("got  %s\nwant %s", got, test.want)
			}
			<-stopped
		})
	}
}
