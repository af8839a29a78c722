package stage

import (
	"fmt"
	"os"
	"path/filepath"

	"ledgespread/lab/plan"
	"ledgespread/lab/sidecars"
)

// OnMachine gives the program that runs a sidecar on a machine whose calls fail, and whose wall clock is stepped by what a file says.
type OnMachine func(wall string, seed uint64) sidecars.Program

// program is what this run's sidecars are.
func (g *Rig) program() (sidecars.Program, error) {
	if !g.s.Machine.Fails || g.o.OnMachine == nil {
		return g.o.Program, nil
	}
	return g.o.OnMachine(g.wallFile(), g.o.Seed), g.writeStep()
}

func (g *Rig) wallFile() string { return filepath.Join(g.folder, "wall") }

// writeStep has the sidecars read by how much the wall clock is stepped. They find the file whole: it is renamed.
func (g *Rig) writeStep() error {
	g.mu.Lock()
	step := g.wallStep
	g.mu.Unlock()
	next := g.wallFile() + ".next"
	if err := os.WriteFile(next, fmt.Appendln(nil, int64(step)), 0o644); err != nil {
		return err
	}
	return os.Rename(next, g.wallFile())
}

// toMachine steps the wall clock that sidecars read, and by which starts are told from now on.
func (g *Rig) toMachine(e plan.Event) {
	if g.o.OnMachine == nil {
		return // sidecars read another clock than that
	}
	by := e.By.M()
	if e.What == "wall_back" {
		by = -by
	}
	g.mu.Lock()
	g.wallStep += by
	g.mu.Unlock()
	g.mark("the wall clock is stepped by %.1f s", by.Duration().Seconds())
	if err := g.writeStep(); err != nil {
		g.note("the wall clock could not be stepped: %v", err)
	}
}

// stepNow is by how much the wall clock is stepped.
func (g *Rig) stepNow() Micros {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.wallStep
}
