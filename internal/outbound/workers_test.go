package outbound

import (
	"fmt"
	"runtime"
	"sync"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"
)

// settledGoroutines returns the number of goroutines once it has stayed the same for as long as a worker may be idle: those that
// earlier tests have left would end during the next one.
func settledGoroutines() (count int) {
	const settled = workerIdleTimeout + 200*time.Millisecond
	count = runtime.NumGoroutine()
	for since := time.Now(); time.Since(since) < settled; time.Sleep(10 * time.Millisecond) {
		if now := runtime.NumGoroutine(); now != count {
			count, since = now, time.Now()
		}
	}
	return count
}

// Goroutines are reused, and those that a burst started end after it.
func TestWorkers(t *testing.T) {
	pool, goroutinesBefore := make(workers), settledGoroutines()
	var burst sync.WaitGroup
	release := make(chan bool)
	for range 50 {
		burst.Add(1)
		pool.do(func() { <-release; burst.Done() })
	}
	during := runtime.NumGoroutine() - goroutinesBefore
	close(release)
	burst.Wait()
	time.Sleep(50 * time.Millisecond)
	for range 200 {
		burst.Add(1)
		pool.do(burst.Done)
		burst.Wait()
		time.Sleep(100 * time.Microsecond)
	}
	got := fmt.Sprintf("burst %d, more after it: %v, ", during, runtime.NumGoroutine()-goroutinesBefore > 50)
	time.Sleep(workerIdleTimeout + 200*time.Millisecond)
	got += fmt.Sprintf("at last %d", runtime.NumGoroutine()-goroutinesBefore)
	if diff := cmp.Diff("burst 50, more after it: false, at last 0", got); diff != "" {
		t.Errorf("mismatch (-want +got):\n%s", diff)
	}
}
