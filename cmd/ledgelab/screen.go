package main

import (
	"fmt"
	"io"
	"os"
	"strings"

	"golang.org/x/term"

	"ledgespread/lab/clock"
	"ledgespread/lab/runner"
)

// progressScreen shows the progress of a run: a table that is redrawn in place on a terminal, plain lines
// otherwise.
type progressScreen struct {
	out          io.Writer
	terminal     bool
	interval     clock.Micros
	drawnLines   int // of the table that was drawn last
	printedMarks int // printed so far, where the output is not a terminal
	previous     runner.Snapshot
}

// newProgressScreen returns a screen that refreshes four times a second on a terminal and prints every 5
// seconds otherwise.
func newProgressScreen(out io.Writer) *progressScreen {
	s := &progressScreen{out: out, interval: 5 * clock.Second}
	if file, ok := out.(*os.File); ok && term.IsTerminal(int(file.Fd())) {
		s.terminal, s.interval = true, clock.Second/4
	}
	return s
}

// update shows the current state of the run.
func (s *progressScreen) update(snapshot runner.Snapshot) {
	if !s.terminal {
		for _, mark := range snapshot.Marks[s.printedMarks:] {
			fmt.Fprintf(s.out, "%6.1f s  %s\n", float64(mark.At)/1e6, mark.What)
		}
		s.printedMarks = len(snapshot.Marks)
		fmt.Fprintf(s.out, "%6.1f s  %d delivered, %d bounced, %d errored, %d lost, %d open\n", float64(snapshot.At)/1e6, snapshot.Delivered, snapshot.Bounced,
			snapshot.Errored, snapshot.Lost, snapshot.Open)
		return
	}
	var text strings.Builder
	if s.drawnLines > 0 {
		fmt.Fprintf(&text, "\x1b[%dA\x1b[J", s.drawnLines)
	}
	row := func(format string, values ...any) { fmt.Fprintf(&text, format+"\n", values...) }
	fraction := min(1, float64(snapshot.At)/float64(max(snapshot.Length, 1)))
	row("[%-40s] %.1f of %.1f s", strings.Repeat("=", int(40*fraction)), float64(snapshot.At)/1e6, float64(snapshot.Length)/1e6)
	span := float64(snapshot.At-s.previous.At) / 1e6
	if span <= 0 {
		span = 1
	}
	rate := func(now, then int64) float64 { return float64(now-then) / span }
	row("          %10s %10s %10s %10s %10s", "delivered", "bounced", "errored", "lost", "open")
	row("in all    %10d %10d %10d %10d %10d", snapshot.Delivered, snapshot.Bounced, snapshot.Errored, snapshot.Lost, snapshot.Open)
	row("a second  %10.0f %10.0f %10.0f %10.0f", rate(snapshot.Delivered, s.previous.Delivered), rate(snapshot.Bounced, s.previous.Bounced),
		rate(snapshot.Errored, s.previous.Errored), rate(snapshot.Lost, s.previous.Lost))
	const maxRows = 20
	for i, backend := range snapshot.Backends {
		if i == maxRows {
			row("  and %d backends more", len(snapshot.Backends)-maxRows)
			break
		}
		state := ""
		if !backend.Alive {
			state = "gone"
		} else if backend.Slow {
			state = "slow"
		}
		row("  %-6s %-12s %4d %-30s %s", backend.Name, backend.Zone, backend.Held, strings.Repeat("#", min(30, backend.Held)), state)
	}
	for _, mark := range snapshot.Marks[max(0, len(snapshot.Marks)-4):] {
		row("  %6.1f s  %s", float64(mark.At)/1e6, mark.What)
	}
	s.drawnLines, s.previous = strings.Count(text.String(), "\n"), snapshot
	io.WriteString(s.out, text.String())
}

// finish ends the table, so that later output begins below it.
func (s *progressScreen) finish() {
	if s.terminal && s.drawnLines > 0 {
		fmt.Fprintln(s.out)
	}
}
