package relay

import (
	"time"

	"github.com/rs/zerolog"

	"ledgespread/brain"
)

// At debug level the log has a line for each attempt, each end of an attempt and each answer that did not
// come from a server, with the reason. At higher levels these functions format and allocate nothing.

// resultNames are the texts that the log uses for attempt results.
var resultNames = [...]string{brain.Succeeded: "succeeded", brain.AnsweredError: "error answer", brain.Overloaded: "server full", brain.TimedOut: "timed out",
	brain.ConnectFailed: "connect failed", brain.Reset: "connection broke", brain.Cancelled: "cancelled", brain.NeverSent: "never sent"}

// Reasons for which the relay itself, not the Balancer or a server, ends a request or an attempt.
const (
	reasonDuplicateID       brain.Reason = "request ID is already in use"
	reasonTooManyOpen       brain.Reason = "too many requests are open"
	reasonPanic             brain.Reason = "panic in the decision code"
	reasonClientLeft        brain.Reason = "client left, or was answered at its timeout"
	reasonAttemptNotAllowed brain.Reason = "request is over, or the attempt is no longer allowed"
)

// requestEntry starts a debug line about a request; nil if debug logging is off.
func (r *Relay) requestEntry(request *request) *zerolog.Event {
	entry := r.log.Debug()
	if !entry.Enabled() {
		return nil
	}
	return entry.Str("request_id", request.exchange.RequestID).Int("attempts", len(request.attempts)).Dur("left", toDuration(request.deadline-r.clock.now()))
}

// logAttempt logs that an attempt is sent.
func (r *Relay) logAttempt(request *request, number brain.AttemptIndex, server string, wait brain.Micros) {
	if entry := r.requestEntry(request); entry != nil {
		entry.Uint8("attempt", uint8(number)).Str("server", server).Dur("wait", toDuration(wait)).Msg("attempt")
	}
}

// logUnsent logs that the Balancer asked for an attempt that is not sent.
func (r *Relay) logUnsent(request *request, number brain.AttemptIndex, server string) {
	if entry := r.requestEntry(request); entry != nil {
		entry.Uint8("attempt", uint8(number)).Str("server", server).Str("reason", string(reasonAttemptNotAllowed)).Msg("attempt not sent")
	}
}

// logAttemptEnded logs how an attempt ended; err is the cause, if it is known.
func (r *Relay) logAttemptEnded(request *request, number brain.AttemptIndex, result brain.Result, took brain.Micros, err error) {
	if entry := r.requestEntry(request); entry != nil {
		entry.Uint8("attempt", uint8(number)).Str("result", resultNames[result]).Dur("took", toDuration(took)).Err(err).Msg("attempt ended")
	}
}

// logAnswer logs that a request got an answer that did not come from a server, or needs none any more.
func (r *Relay) logAnswer(request *request, message string, reason brain.Reason) {
	if entry := r.requestEntry(request); entry != nil {
		entry.Str("reason", string(reason)).Msg(message)
	}
}

// logRefused logs that a request was refused before it reached the Balancer.
func (r *Relay) logRefused(id string, reason brain.Reason) {
	if entry := r.log.Debug(); entry.Enabled() {
		entry.Str("request_id", id).Str("reason", string(reason)).Msg("request refused")
	}
}

func toDuration(micros brain.Micros) time.Duration { return time.Duration(micros) * time.Microsecond }
