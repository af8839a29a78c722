// Package load generates load on one address. RunOpenLoop sends requests on schedule and measures the latency of each
// from when it was due. MeasureThroughput is closed-loop: it sends as fast as its connections allow and measures
// throughput only, since closed-loop latencies leave out the time that requests would have waited.
package load

import (
	"bufio"
	"errors"
	"fmt"
	"net"
	"sync"
	"sync/atomic"
	"time"

	"ledgespread/lab/clients"
	"ledgespread/lab/clock"
	"ledgespread/lab/plan"
	"ledgespread/lab/report"
	"ledgespread/lab/scenario"
	"ledgespread/lab/wire"
)

// OpenLoopResult is the result of an open-loop run.
type OpenLoopResult struct {
	Ends    map[string]int `json:"ends"`
	Latency report.Latency `json:"latency"` // of delivered requests, from when they were due
	Rate    float64        `json:"delivered_a_second"`
	LateP99 clock.Micros   `json:"lab_late_p99_us"`
	LateMax clock.Micros   `json:"lab_late_most_us"`
	Plan    string         `json:"plan"`
}

// RunOpenLoop draws the scenario's plan and sends its requests to one address, each when it is due. It returns an error
// when stop is closed before the end.
func RunOpenLoop(address string, spec *scenario.Scenario, seed uint64, stop <-chan struct{}) (*OpenLoopResult, error) {
	planned, err := plan.Draw(spec, seed)
	if err != nil {
		return nil, err
	}
	labClock := clock.Start()
	alarms := labClock.NewAlarms()
	defer alarms.Close()
	senders := clients.New(spec, planned, []string{address}, labClock, alarms)
	defer senders.Close()
	begun := labClock.Now() + 50*clock.Milli
	senders.Begin(begun)
	done := make(chan struct{})
	go func() { senders.Wait(); close(done) }()
	select {
	case <-done:
	case <-stop:
		return nil, errors.New("the load was stopped before its end")
	}
	result := &OpenLoopResult{Ends: map[string]int{}, Plan: fmt.Sprintf("%016x", planned.Hash)}
	histogram := report.NewHistogram()
	for _, try := range senders.Account() {
		result.Ends[string(try.Outcome)]++
		if visit := planned.Visits[try.Visit]; try.Outcome == clients.Delivered && visit.At >= spec.Warmup.M() {
			histogram.RecordValue(max(1, int64(try.Ended-begun-visit.At)))
		}
	}
	result.Latency = report.Summarize(histogram)
	result.Rate = float64(result.Latency.Count) / (float64(spec.Length-spec.Warmup) / 1e6)
	result.LateP99, result.LateMax = alarms.Lateness().Quantile(0.99), alarms.Lateness().Max()
	return result, nil
}

// MeasureThroughput sends requests over conns connections for the given time, each after the response to the previous one,
// and returns the rate of responses with status 200. It returns an error if there are more than one failed request for every
// 20 of these responses.
func MeasureThroughput(address, prefix string, conns int, span time.Duration) (perSecond float64, err error) {
	var count, failed atomic.Int64
	var workers sync.WaitGroup
	runID, end := time.Now().UnixNano(), time.Now().Add(span)
	for worker := range conns {
		conn, err := net.DialTimeout("tcp", address, time.Second)
		if err != nil {
			return 0, err
		}
		workers.Add(1)
		go func() {
			defer workers.Done()
			defer conn.Close()
			in := bufio.NewReaderSize(conn, 4<<10)
			for i := 0; time.Now().Before(end); i++ {
				conn.SetDeadline(time.Now().Add(2 * time.Second))
				fmt.Fprintf(conn, "GET /%s/x?w=1&k=0 HTTP/1.1\r\nHost: %s\r\nX-Request-ID: m%x-%d-%d\r\nX-Timeout: 750m\r\n\r\n", prefix, address, runID, worker, i)
				head, err := wire.ReadHead(in)
				if err == nil {
					_, err = head.Body(in)
				}
				if err != nil {
					failed.Add(1)
					return
				}
				if head.Status() == 200 {
					count.Add(1)
				} else {
					failed.Add(1)
				}
			}
		}()
	}
	begun := time.Now()
	workers.Wait()
	if failures := failed.Load(); failures > count.Load()/20 {
		return 0, fmt.Errorf("%d of %d requests were not delivered", failures, failures+count.Load())
	}
	return float64(count.Load()) / time.Since(begun).Seconds(), nil
}
