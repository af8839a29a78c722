package brain

import "testing"

// TestStreamedRequestExpires checks that a request whose body is forwarded as it arrives has its answer before its
// client stops waiting, which is known only once the last byte has arrived: the deadline was that of the slowest
// client, and the request stayed open for minutes.
func TestStreamedRequestExpires(t *testing.T) {
	driver := newDriver(t, testSettings("all", "allowed.retry_after", true, "allowed.max_retry_after_us", 2e6), "a b")
	send := func(id RequestID, class ClassID) {
		driver.balancer.HandleRequest(driver.now, id, class, 0, 100_000*ms, 0, false, true)
	}
	driver.recordTitle("the server has the last byte and doesn't answer: an error page, since the request may have run")
	send(1, 2)
	driver.advance(5000 * ms)
	driver.record("the last byte of visit 1 has arrived, its client waits for 2 s")
	driver.balancer.HandleBodyArrived(driver.now, 1, 2000*ms)
	driver.advance(2100 * ms)
	driver.recordTitle("the last byte was never sent: the request may be sent again while its client waits")
	send(2, 2)
	driver.advance(5000 * ms)
	driver.record("the last byte of visit 2 has arrived, its client waits for 2 s")
	driver.balancer.HandleBodyArrived(driver.now, 2, 2000*ms)
	driver.advance(1000 * ms)
	driver.endAttempt(2, 0, ConnectFailed)
	driver.recordTitle("neither a request that has ended nor an unknown one has a deadline; none becomes later")
	driver.balancer.HandleBodyArrived(driver.now, 2, 2000*ms)
	driver.balancer.HandleBodyArrived(driver.now, 99, 2000*ms)
	driver.balancer.HandleRequest(driver.now, 3, 0, 0, 500*ms, 0, false, true)
	driver.balancer.HandleBodyArrived(driver.now, 3, 2000*ms)
	driver.advance(3000 * ms)
	driver.compareTrace(t)
}
