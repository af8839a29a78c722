package stage

import (
	"encoding/binary"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"slices"
	"strings"
	"time"

	"ledgespread/lab/clock"
)

// Sidecars that carry configurations: the first few are control machines, where staff may publish.

func (g *Rig) fitCarried(b *strings.Builder, i int) {
	if g.s.Members.Carry == 0 {
		return
	}
	fmt.Fprintf(b, "[rollout]\nfolder = %q\n", g.folder)
	if i < g.s.Members.Carry {
		b.WriteString("publish_from = [\"127.0.0.0/8\"]\n")
	}
}

// Carried is what a sidecar tells of configurations.
type Carried struct {
	InForce, Newest uint64
	Digest          string // of the newest
	OnTrial         bool
	Contested       bool
	Stage, Why      string
	Counts          map[string]int64
	Reports         []string
}

// askCarried asks a sidecar at its own address, past the gates.
func (g *Rig) askCarried(i int, what string) ([]byte, error) {
	c, err := net.DialTimeout("tcp", g.MemberAt(i).String(), 2*time.Second)
	if err != nil {
		return nil, err
	}
	defer c.Close()
	c.SetDeadline(time.Now().Add(5 * time.Second))
	what = "ledgespread rollout 1 " + what
	if _, err := c.Write(append(binary.BigEndian.AppendUint32(nil, uint32(len(what))), what...)); err != nil {
		return nil, err
	}
	var head [4]byte
	if _, err := io.ReadFull(c, head[:]); err != nil {
		return nil, err
	}
	return io.ReadAll(c)
}

// Publish hands a configuration to a control machine, as staff do. number 0: the next. refused is its reason, if it takes it not.
func (g *Rig) Publish(i int, number uint64, text string) (refused string, err error) {
	reply, err := g.askCarried(i, fmt.Sprintf("publish %d\n%s", number, text))
	if err != nil {
		return "", err
	}
	if why, no := strings.CutPrefix(string(reply), "refused "); no {
		return why, nil
	}
	if !strings.HasPrefix(string(reply), "number ") {
		return "", fmt.Errorf("n%d answers %q", i, reply)
	}
	return "", nil
}

// Carried asks a sidecar what it knows.
func (g *Rig) Carried(i int) (*Carried, error) {
	text, err := g.askCarried(i, "status")
	if err != nil {
		return nil, err
	}
	var said struct {
		Newest *struct {
			Number uint64
			Digest string
		}
		Force     *struct{ Number uint64 } `json:"in_force"`
		OnTrial   bool                     `json:"on_trial"`
		Contested bool
		Stage     string
		Why       string
		Counts    map[string]int64
		Reports   []struct{ Member, Verdict string }
	}
	if err := json.Unmarshal(text, &said); err != nil {
		return nil, err
	}
	c := &Carried{OnTrial: said.OnTrial, Contested: said.Contested, Stage: said.Stage, Why: said.Why, Counts: said.Counts}
	if said.Force != nil {
		c.InForce = said.Force.Number
	}
	if said.Newest != nil {
		c.Newest, c.Digest = said.Newest.Number, said.Newest.Digest
	}
	for _, r := range said.Reports {
		c.Reports = append(c.Reports, r.Member+" "+r.Verdict)
	}
	return c, nil
}

// AwaitCarried waits until all these sidecars tell such things, for as long as is given at the most, and tells after how long.
func (g *Rig) AwaitCarried(of []int, most time.Duration, holds func(i int, c *Carried) bool) (Micros, error) {
	begun := g.clock.Now()
	last := map[int]string{}
	for open := slices.Clone(of); ; (5 * clock.Milli).Sleep() {
		open = slices.DeleteFunc(open, func(i int) bool {
			c, err := g.Carried(i)
			if err == nil {
				last[i] = fmt.Sprintf("%+v", *c)
			} else {
				last[i] = err.Error()
			}
			return err == nil && holds(i, c)
		})
		if took := g.clock.Now() - begun; len(open) == 0 {
			return took, nil
		} else if took > clock.Span(most) {
			return took, fmt.Errorf("after %v n%d tells %s", took.Duration(), open[0], last[open[0]])
		}
	}
}

// InForce tells whether a number is in force.
func InForce(number uint64) func(int, *Carried) bool {
	return func(_ int, c *Carried) bool { return c.InForce == number }
}

// Force is that a sidecar said that a number is in force there, by its log.
type Force struct {
	At      Micros
	Sidecar int
	Number  uint64
}

// Forces are all such, in the order of each sidecar's own log.
func (g *Rig) Forces() (out []Force) {
	for i, c := range g.sidecars {
		for _, l := range c.Lines() {
			var line struct {
				Message, Part string
				Number        uint64
			}
			if json.Unmarshal([]byte(l.Text), &line) == nil && line.Part == "rollout" && line.Message == "a configuration is in force" {
				out = append(out, Force{l.At, i, line.Number})
			}
		}
	}
	return out
}
