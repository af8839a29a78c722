package main

import (
	"fmt"
	"io"
	"os"
	"strings"

	"golang.org/x/term"

	"ledgespread/lab/clock"
	"ledgespread/lab/stage"
)

// screen shows a run: a live table on a terminal, plain lines in a pipe.
type screen struct {
	out      io.Writer
	terminal bool
	every    clock.Micros
	lines    int // of the table that stands there
	marks    int // told already, in a pipe
	before   stage.Live
}

func newScreen(out io.Writer) *screen {
	s := &screen{out: out, every: 5 * clock.Second}
	if f, ok := out.(*os.File); ok && term.IsTerminal(int(f.Fd())) {
		s.terminal, s.every = true, clock.Second/4
	}
	return s
}

func (s *screen) live(l stage.Live) {
	if !s.terminal {
		for _, m := range l.Marks[s.marks:] {
			fmt.Fprintf(s.out, "%6.1f s  %s\n", float64(m.At)/1e6, m.What)
		}
		s.marks = len(l.Marks)
		fmt.Fprintf(s.out, "%6.1f s  %d delivered, %d bounced, %d errored, %d lost, %d open\n", float64(l.At)/1e6, l.Delivered, l.Bounced,
			l.Errored, l.Lost, l.On)
		return
	}
	var b strings.Builder
	if s.lines > 0 {
		fmt.Fprintf(&b, "\x1b[%dA\x1b[J", s.lines)
	}
	row := func(format string, values ...any) { fmt.Fprintf(&b, format+"\n", values...) }
	part := min(1, float64(l.At)/float64(max(l.Length, 1)))
	row("[%-40s] %.1f of %.1f s", strings.Repeat("=", int(40*part)), float64(l.At)/1e6, float64(l.Length)/1e6)
	span := float64(l.At-s.before.At) / 1e6
	if span <= 0 {
		span = 1
	}
	rate := func(now, then int64) float64 { return float64(now-then) / span }
	row("          %10s %10s %10s %10s %10s", "delivered", "bounced", "errored", "lost", "open")
	row("in all    %10d %10d %10d %10d %10d", l.Delivered, l.Bounced, l.Errored, l.Lost, l.On)
	row("a second  %10.0f %10.0f %10.0f %10.0f", rate(l.Delivered, s.before.Delivered), rate(l.Bounced, s.before.Bounced),
		rate(l.Errored, s.before.Errored), rate(l.Lost, s.before.Lost))
	const most = 20
	for i, x := range l.Backends {
		if i == most {
			row("  and %d backends more", len(l.Backends)-most)
			break
		}
		state := ""
		if !x.Alive {
			state = "gone"
		} else if x.Slow {
			state = "slow"
		}
		row("  %-6s %-12s %4d %-30s %s", x.Name, x.Zone, x.Held, strings.Repeat("#", min(30, x.Held)), state)
	}
	for _, m := range l.Marks[max(0, len(l.Marks)-4):] {
		row("  %6.1f s  %s", float64(m.At)/1e6, m.What)
	}
	s.lines, s.before = strings.Count(b.String(), "\n"), l
	io.WriteString(s.out, b.String())
}

func (s *screen) done() {
	if s.terminal && s.lines > 0 {
		fmt.Fprintln(s.out)
	}
}
