package relay

import "ledgespread/brain"

// repeatInterval is the interval at which repeats of a line are logged.
const repeatInterval brain.Micros = 1_000_000

// repeats counts the repeats of a line that are not logged yet.
type repeats struct{ count int }

// logRepeated logs a line at once and then, once a second, how often it was repeated: in an outage the same
// reason comes hundreds of times a second.
func (r *Relay) logRepeated(line string) {
	if seen := r.repeated[line]; seen != nil {
		seen.count++
		return
	}
	r.repeated[line] = &repeats{}
	r.log.Info().Msg(line)
	r.schedule(r.now+repeatInterval, func() { r.logRepeatCount(line) })
}

// logRepeatCount logs how often a line was repeated since the last time, and forgets the line if it was not.
func (r *Relay) logRepeatCount(line string) {
	seen := r.repeated[line]
	if seen.count == 0 {
		delete(r.repeated, line)
		return
	}
	r.log.Info().Int("times", seen.count).Msg(line)
	seen.count = 0
	r.schedule(r.now+repeatInterval, func() { r.logRepeatCount(line) })
}
