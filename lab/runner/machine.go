package runner

import (
	"fmt"
	"os"
	"path/filepath"

	"ledgespread/lab/plan"
	"ledgespread/lab/sidecars"
)

// OnMachine returns the program that runs a sidecar on a simulated machine: its system calls fail by chance
// (from seed), and its wall clock is offset by the value in the file wall.
type OnMachine func(wall string, seed uint64) sidecars.Program

// sidecarProgram returns the program that this run starts as its sidecars.
func (rig *Rig) sidecarProgram() (sidecars.Program, error) {
	if !rig.scenario.Machine.CallsFail || rig.options.OnMachine == nil {
		return rig.options.Program, nil
	}
	return rig.options.OnMachine(rig.wallFile(), rig.options.Seed), rig.writeWallClockOffset()
}

// wallFile is the path of the file that holds the wall clock offset.
func (rig *Rig) wallFile() string { return filepath.Join(rig.folder, "wall") }

// writeWallClockOffset writes the wall clock offset to the file that the sidecars read. The file is replaced
// by a rename, so that readers never see a partial write.
func (rig *Rig) writeWallClockOffset() error {
	rig.mu.Lock()
	step := rig.wallStep
	rig.mu.Unlock()
	next := rig.wallFile() + ".next"
	if err := os.WriteFile(next, fmt.Appendln(nil, int64(step)), 0o644); err != nil {
		return err
	}
	return os.Rename(next, rig.wallFile())
}

// stepWallClock runs a wall clock fault: it steps the clock that the sidecars read, and by which the
// discovery list gives the start times of backends from now on.
func (rig *Rig) stepWallClock(event plan.Event) {
	if rig.options.OnMachine == nil {
		return // without the simulated machine sidecars read the real clock
	}
	by := event.By.M()
	if event.What == "wall_back" {
		by = -by
	}
	rig.mu.Lock()
	rig.wallStep += by
	rig.mu.Unlock()
	rig.mark("the wall clock is stepped by %.1f s", by.Duration().Seconds())
	if err := rig.writeWallClockOffset(); err != nil {
		rig.note("the wall clock could not be stepped: %v", err)
	}
}

// wallClockOffset returns the current wall clock offset.
func (rig *Rig) wallClockOffset() Micros {
	rig.mu.Lock()
	defer rig.mu.Unlock()
	return rig.wallStep
}
