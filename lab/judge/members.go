package judge

import (
	"encoding/json"
	"slices"

	"ledgespread/lab/sidecars"
)

// Cut is a change of what comes through from one sidecar to another.
type Cut struct {
	At       Micros
	From, To string
	On       bool
}

// Word is what a sidecar said of another: evidence of what it believed, no more.
type Word struct {
	At       Micros
	By, Name string
	Is, Was  string
	Why      string
}

// Words reads them from a sidecar's log.
func Words(by string, lines []sidecars.Line) (out []Word) {
	for _, l := range lines {
		var tree map[string]any
		if json.Unmarshal([]byte(l.Text), &tree) != nil {
			continue
		}
		text := func(name string) string { x, _ := tree[name].(string); return x }
		if name := text("member"); name != "" {
			out = append(out, Word{At: l.At, By: by, Name: name, Is: text("message"), Was: text("was"), Why: text("why")})
		}
	}
	return out
}

// Muster is the truth about who ran, who stood still and who could tell whom something, by the lab's own account.
type Muster struct {
	Sidecars []SidecarAccount
	Cuts     []Cut
}

func (m *Muster) sidecar(name string) *SidecarAccount {
	if at := slices.IndexFunc(m.Sidecars, func(c SidecarAccount) bool { return c.Name == name }); at >= 0 {
		return &m.Sidecars[at]
	}
	return &SidecarAccount{}
}

// Ran tells whether a process of this name was ready and running all the time.
func (m *Muster) Ran(name string, from, to Micros) bool {
	return slices.ContainsFunc(m.sidecar(name).Lives, func(l sidecars.Life) bool {
		return l.Ready >= 0 && l.Ready <= from && (l.End < 0 || l.End >= to) && (l.Asked < 0 || l.Asked >= to)
	})
}

// Stood is the longest that it stood still, of stretches that reach into this time.
func (m *Muster) Stood(name string, from, to Micros) (longest Micros) {
	for _, s := range m.sidecar(name).Stills {
		if end := s[1]; s[0] <= to && (end < 0 || end >= from) {
			if end < 0 || end > to {
				end = to
			}
			longest = max(longest, end-s[0])
		}
	}
	return longest
}

// Comes tells whether what one says comes to the other all the time.
func (m *Muster) Comes(one, other string, from, to Micros) bool {
	on := false
	for _, c := range m.Cuts {
		if c.From != one || c.To != other || c.At > to {
			continue
		}
		if on = c.On; on && c.At >= from {
			return false
		}
		if !on && c.At > from { // it was cut until then
			return false
		}
	}
	return !on
}

// False tells whether a word that a member is dead was false: it ran, it did not stand still for longer than is borne, and
// whoever said so could exchange messages with it all the time, directly or through one other that ran and did not stand
// still either.
func (m *Muster) False(w Word, span, borne Micros) bool {
	from, to := w.At-span, w.At
	fine := func(name string) bool {
		return m.Ran(name, from, to) && m.Stood(name, from-borne, to) <= borne
	}
	both := func(a, b string) bool { return a == b || m.Comes(a, b, from, to) && m.Comes(b, a, from, to) }
	if w.Is != "dead" || !fine(w.Name) {
		return false
	}
	return slices.ContainsFunc(m.Sidecars, func(c SidecarAccount) bool {
		if c.Name == w.Name {
			return both(w.By, w.Name)
		}
		steady := c.Name == w.By || m.Ran(c.Name, from, to) && m.Stood(c.Name, from, to) == 0
		return steady && both(w.By, c.Name) && both(c.Name, w.Name)
	})
}
