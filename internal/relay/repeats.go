package relay

import "ledgespread/brain"

// repeatedEvery is how often a line that comes again and again is logged.
const repeatedEvery brain.Micros = 1_000_000

// repeats counts a line's repeats that are not logged yet.
type repeats struct{ count int }

// logRepeated logs a line at once, and those like it that follow within a second as one, with how many there were: in an outage the same reason
// comes hundreds of times a second.
func (r *Relay) logRepeated(line string) {
	if seen := r.repeated[line]; seen != nil {
		seen.count++
		return
	}
	r.repeated[line] = &repeats{}
	r.log.Info().Msg(line)
	r.at(r.now+repeatedEvery, func() { r.sumRepeats(line) })
}

// sumRepeats logs the repeats of a line since the last time, and forgets it once there are none.
func (r *Relay) sumRepeats(line string) {
	seen := r.repeated[line]
	if seen.count == 0 {
		delete(r.repeated, line)
		return
	}
	r.log.Info().Int("times", seen.count).Msg(line)
	seen.count = 0
	r.at(r.now+repeatedEvery, func() { r.sumRepeats(line) })
}
