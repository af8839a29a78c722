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
