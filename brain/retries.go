package brain

// retries.go: what follows an attempt's end. Retries take tokens from one bucket and back off; a connection that was reused and broke
// unanswered has one free retry.

import (
	"maps"
	"slices"
)

// onEnd is what becomes of a request when an attempt of it has ended. charged: the attempt was a retry that took tokens.
func (b *Balancer) onEnd(request *request, charged bool) func(*attempt, Result) {
	return func(attempt *attempt, result Result) {
		b.refundFor(request, charged, result)
		if request.ended || request.outstanding > 0 {
			return
		}
		if attempt.reused && result == Reset && b.retryFree(request, attempt.server) {
			return
		}
		b.retryOrGiveUp(request)
	}
}

// refundFor gives tokens back for an attempt that ended. One that was never sent has cost nothing.
func (b *Balancer) refundFor(request *request, charged bool, result Result) {
	switch {
	case charged && (result == Succeeded || result == NeverSent):
		b.refund(retryCost)
	case charged:
		b.refund(failedRefund)
	case result == Succeeded && len(request.attempts) == 1:
		b.refund(firstTryRefund)
	}
}

// retryFree sends again to a server on a fresh connection, after a reused one broke unanswered. Its other idle connections may be broken as
// well, and are closed first.
func (b *Balancer) retryFree(request *request, server *server) bool {
	server.idleSince = nil
	b.ports.CloseIdle(server.id)
	if request.freeRetryUsed || !b.allowed(request, server) {
		return false
	}
	request.freeRetryUsed = true
	b.send(request, server, b.onEnd(request, false))
	return true
}

// retryOrGiveUp retries after a backoff, if there is time, a server and the tokens.
func (b *Balancer) retryOrGiveUp(request *request) {
	b.spentTokens = min(b.spentTokens, b.bucketSize())
	switch {
	case b.now+request.backoff() >= request.usefulUntil:
		b.giveUp(request, TurnedLate)
		return
	case !b.hasOther(request, nil, request.outstanding):
		b.giveUp(request, TurnedNoServer)
		return
	case !b.hasTokens():
		b.ports.Print("retry denied: the bucket is empty")
		b.giveUp(request, TurnedDenied)
		return
	}
	b.after(b.now+request.backoff(), func() { b.retry(request) })
	b.spentTokens += retryCost
	request.chargedRetries++
	request.retryWaits = true
}

// retry sends a retry whose tokens are taken.
func (b *Balancer) retry(request *request) {
	if !request.retryWaits {
		return
	}
	request.retryWaits = false
	server := b.pick(request, false, false)
	if server == nil {
		b.refund(retryCost) // it is never sent
		b.giveUp(request, TurnedNoServer)
		return
	}
	b.send(request, server, b.onEnd(request, true))
}

// giveUpWaiting answers requests that have nothing out and wait for a server, where none is left that may ever have them.
func (b *Balancer) giveUpWaiting() {
	for _, id := range slices.Sorted(maps.Keys(b.requests)) {
		request := b.requests[id]
		if request.ended || request.outstanding > 0 || b.hasPlace(request) {
			continue
		}
		if request.retryWaits {
			request.retryWaits = false
			b.refund(retryCost) // it is never sent
		}
		b.giveUp(request, TurnedNoServer)
	}
}

// hasPlace tells whether a server is listed that may have a request, now or once it has room.
func (b *Balancer) hasPlace(request *request) bool {
	return slices.ContainsFunc(b.listed, func(server *server) bool { return server.open() && request.mayRunAgain(b.now, server) })
}

// backoff is how long a request waits before its next retry.
func (r *request) backoff() Micros { return firstBackoff << r.chargedRetries }

// bucketSize is how many tokens a full bucket holds.
func (b *Balancer) bucketSize() float64 {
	return retryCost * max(leastRetries, retryShare*b.firstTries)
}

// hasTokens tells whether the bucket pays a retry.
func (b *Balancer) hasTokens() bool { return b.bucketSize()-b.spentTokens >= retryCost }

// refund gives tokens back.
func (b *Balancer) refund(tokens float64) { b.spentTokens = max(0, b.spentTokens-tokens) }
