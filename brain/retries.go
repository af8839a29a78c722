package brain

// Retries. They take tokens from the retry bucket and wait for a backoff; a request whose reused connection
// broke without an answer has one free retry.

import (
	"maps"
	"slices"
)

// endHandler returns the function that continues a request after an attempt of it has ended. charged means
// that the attempt took tokens from the retry bucket.
func (b *Balancer) endHandler(request *request, charged bool) func(*attempt, Result) {
	return func(attempt *attempt, result Result) {
		b.refundAttempt(request, charged, result)
		if request.ended || request.outstanding > 0 {
			return
		}
		if attempt.reused && result == Reset && b.retryWithoutCharge(request, attempt.server) {
			return
		}
		b.retryOrGiveUp(request)
	}
}

// refundAttempt returns tokens for an attempt that ended. An attempt that was never sent costs nothing.
func (b *Balancer) refundAttempt(request *request, charged bool, result Result) {
	switch {
	case charged && (result == Succeeded || result == NeverSent):
		b.refund(retryCost)
	case charged:
		b.refund(failedRefund)
	case result == Succeeded && len(request.attempts) == 1:
		b.refund(firstAttemptRefund)
	}
}

// retryWithoutCharge sends a request again on a new connection, after a reused one broke without an answer. The
// other idle connections may be broken as well and are closed first.
func (b *Balancer) retryWithoutCharge(request *request, server *server) bool {
	server.idleSince = nil
	b.ports.CloseIdle(server.id)
	if request.freeRetryUsed {
		return false
	}
	target := b.freeRetryTarget(request, server)
	if target == nil {
		return false
	}
	request.freeRetryUsed = true
	b.send(request, target, b.endHandler(request, false))
	return true
}

// freeRetryTarget returns where the free retry of a request goes after its connection to a server broke: to the same
// server or, with a key that only some servers know, to another one of these. nil: nowhere.
func (b *Balancer) freeRetryTarget(request *request, server *server) *server {
	switch {
	case b.allowed(request, server):
		return server
	case request.class.effect == keyed && !request.class.keyKnownEverywhere():
		return b.pick(request, false, false)
	}
	return nil
}

// retryOrGiveUp schedules a retry, if there are enough time, a server and enough tokens.
func (b *Balancer) retryOrGiveUp(request *request) {
	b.spentTokens = min(b.spentTokens, b.bucketSize())
	switch {
	case b.now+request.backoff() >= request.usefulUntil:
		b.giveUp(request, RejectedLate)
		return
	case !b.hasAlternative(request, nil, request.outstanding):
		b.giveUp(request, RejectedNoServer)
		return
	case !b.hasTokens():
		b.ports.Print("retry denied: the bucket is empty")
		b.giveUp(request, RejectedNoTokens)
		return
	}
	b.schedule(b.now+request.backoff(), func() { b.retry(request) })
	b.spentTokens += retryCost
	request.chargedRetries++
	request.retryPending = true
}

// retry sends a retry whose tokens are already taken.
func (b *Balancer) retry(request *request) {
	if !request.retryPending {
		return
	}
	request.retryPending = false
	server := b.pick(request, false, false)
	if server == nil {
		b.refund(retryCost) // the retry is never sent
		b.giveUp(request, RejectedNoServer)
		return
	}
	b.send(request, server, b.endHandler(request, true))
}

// giveUpUnservable answers requests without an attempt in flight that no listed server may ever get.
func (b *Balancer) giveUpUnservable() {
	for _, id := range slices.Sorted(maps.Keys(b.requests)) {
		request := b.requests[id]
		if request.ended || request.outstanding > 0 || b.hasPossibleServer(request) {
			continue
		}
		if request.retryPending {
			request.retryPending = false
			b.refund(retryCost) // the retry is never sent
		}
		b.giveUp(request, RejectedNoServer)
	}
}

// hasPossibleServer reports whether a listed server may get the request, now or later.
func (b *Balancer) hasPossibleServer(request *request) bool {
	return slices.ContainsFunc(b.sortedServers, func(server *server) bool { return server.acceptsRequests() && request.mayRunAgain(b.now, server) })
}

// backoff returns the delay before a request's next retry.
func (r *request) backoff() Micros { return firstBackoff << r.chargedRetries }

// bucketSize returns the capacity of the retry bucket in tokens.
func (b *Balancer) bucketSize() float64 {
	return retryCost * max(minBucketRetries, retryRatio*b.recentFirstAttempts)
}

// hasTokens reports whether the bucket has enough tokens for a retry.
func (b *Balancer) hasTokens() bool { return b.bucketSize()-b.spentTokens >= retryCost }

// refund returns tokens to the bucket.
func (b *Balancer) refund(tokens float64) { b.spentTokens = max(0, b.spentTokens-tokens) }
