package crowd

// Beats is what membership is compared with, on the same network and under the same faults: plain heartbeats to everybody,
// and a limit of time after which one that was not heard is dead.
type Beats struct {
	c            *Crowd
	every, limit Micros
	last         [][]Micros
	dead         [][]bool
	Deaths       int // one member's word of another
}

// Beat starts them beside a crowd's members, who stop and die with their processes.
func (c *Crowd) Beat(every, limit Micros) *Beats {
	b := &Beats{c: c, every: every, limit: limit}
	for i := range c.Members {
		b.last, b.dead = append(b.last, make([]Micros, len(c.Members))), append(b.dead, make([]bool, len(c.Members)))
		for j := range c.Members {
			b.last[i][j] = c.Now
		}
	}
	for i := range c.Members {
		c.Later(Micros(c.chance()*float64(every)), func() { b.beat(i) })
	}
	return b
}

func (b *Beats) beat(i int) {
	m := b.c.Members[i]
	b.c.Later(b.every, func() { b.beat(i) })
	if m.Still || m.Gone {
		return
	}
	for j, other := range b.c.Members {
		if i == j {
			continue
		}
		b.c.pass(i, j, func() {
			other.at(func() { b.last[j][i], b.dead[j][i] = b.c.Now, false })
		})
		if !b.dead[i][j] && b.c.Now-b.last[i][j] > b.limit {
			b.dead[i][j] = true
			b.Deaths++
		}
	}
}
