package relay

import (
	"time"

	"github.com/rs/zerolog"

	"ledgespread/brain"
)

// At debug the log has a line for each attempt, each end of one and each answer that is no server's, with the reason. Where that level is off,
// nothing is worked out for it.

// resultNames are how attempts end, as the log calls it.
var resultNames = [...]string{brain.Succeeded: "succeeded", brain.AnsweredError: "error answer", brain.Overloaded: "server full", brain.TimedOut: "timed out",
	brain.ConnectFailed: "connect failed", brain.Reset: "connection broke", brain.Cancelled: "cancelled", brain.NeverSent: "never sent"}

// Reasons of the relay's own for an answer that is no server's.
const (
	reasonTwice     brain.Reason = "request id not new"
	reasonHeld      brain.Reason = "too many requests held"
	reasonPanic     brain.Reason = "the module failed over it"
	reasonLeft      brain.Reason = "client left, or was answered at its timeout"
	reasonNoAttempt brain.Reason = "not to be sent any more"
)

// logged begins a line about a request; nil where debug is off.
func (r *Relay) logged(request *request) *zerolog.Event {
	entry := r.log.Debug()
	if !entry.Enabled() {
		return nil
	}
	return entry.Str("request_id", request.exchange.RequestID).Int("attempts", len(request.attempts)).Dur("left", span(request.deadline-r.clock.now()))
}

// logAttempt tells that an attempt goes out.
func (r *Relay) logAttempt(request *request, no brain.AttemptNo, server string, wait brain.Micros) {
	if entry := r.logged(request); entry != nil {
		entry.Uint8("attempt", uint8(no)).Str("server", server).Dur("wait", span(wait)).Msg("attempt")
	}
}

// logUnsent tells that the module asked for an attempt that does not go out.
func (r *Relay) logUnsent(request *request, no brain.AttemptNo, server string) {
	if entry := r.logged(request); entry != nil {
		entry.Uint8("attempt", uint8(no)).Str("server", server).Str("reason", string(reasonNoAttempt)).Msg("attempt not sent")
	}
}

// logAttemptEnded tells how an attempt ended; err is why, where that is known.
func (r *Relay) logAttemptEnded(request *request, no brain.AttemptNo, rc brain.Result, took brain.Micros, err error) {
	if entry := r.logged(request); entry != nil {
		entry.Uint8("attempt", uint8(no)).Str("result", resultNames[rc]).Dur("took", span(took)).Err(err).Msg("attempt ended")
	}
}

// logAnswer tells that a request got an answer that is no server's, or needs none any more.
func (r *Relay) logAnswer(request *request, how string, why brain.Reason) {
	if entry := r.logged(request); entry != nil {
		entry.Str("reason", string(why)).Msg(how)
	}
}

// logRefused tells of a request that never came to the module.
func (r *Relay) logRefused(id string, why brain.Reason) {
	if entry := r.log.Debug(); entry.Enabled() {
		entry.Str("request_id", id).Str("reason", string(why)).Msg("request refused")
	}
}

func span(t brain.Micros) time.Duration { return time.Duration(t) * time.Microsecond }
