package runner

import (
	"encoding/binary"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/netip"
	"os"
	"path/filepath"
	"slices"
	"strings"
	"sync/atomic"
	"syscall"
	"time"

	"ledgespread/lab/clock"
	"ledgespread/lab/judge"
	"ledgespread/lab/network"
	"ledgespread/lab/plan"
	"ledgespread/lab/scenario"
)

// This file runs sidecars as members of a group: a mesh of gates between their membership addresses, an
// extensions file for each, cut links, and queries of the member table that each sidecar holds.

// rigCount numbers the rigs of this process, so that no two share an address.
var rigCount atomic.Int64

// memberAddress returns member i's loopback address. It is derived from the process ID and the rig, so that
// no other process can take the port before the member listens.
func memberAddress(rig int64, i int) netip.AddrPort {
	pid := os.Getpid()
	return netip.AddrPortFrom(netip.AddrFrom4([4]byte{127, byte(64 + pid%128), byte(pid >> 7), byte(1 + i%250)}), uint16(7000+rig%100*10+int64(i/250)))
}

// openMesh opens the gates between this many members; it does nothing where membership is off.
func (rig *Rig) openMesh(count int) (err error) {
	if rig.scenario.Members.Every == 0 {
		return nil
	}
	rig.number = rigCount.Add(1)
	for i := range count {
		rig.memberAddresses = append(rig.memberAddresses, memberAddress(rig.number, i))
	}
	rig.mesh, err = network.NewMesh(rig.memberAddresses, rig.scenario.Network.Datagrams, rig.options.Seed)
	return err
}

// extensionsFile is the path of a sidecar's extensions file.
func (rig *Rig) extensionsFile(name string) string { return filepath.Join(rig.folder, name+".toml") }

// writeExtensions writes the extensions file of sidecar i: its membership section and, if enabled, its
// rollout section.
func (rig *Rig) writeExtensions(i int) error {
	names := rig.scenario.SidecarNames()
	var text strings.Builder
	rig.mu.Lock()
	listen := rig.memberAddresses[i]
	rig.mu.Unlock()
	fmt.Fprintf(&text, "[membership]\nlisten = %q\ngroup = \"lab\"\nfrom = [\"127.0.0.0/8\"]\nzone = %q\nprobe_every = %q\n",
		listen, rig.zones[names[i]], rig.scenario.Members.Every.M().Duration())
	if rig.scenario.Members.Forget > 0 {
		fmt.Fprintf(&text, "forget = %q\n", rig.scenario.Members.Forget.M().Duration())
	}
	var seeds []string
	for k := range min(3, len(names)-1) {
		seeds = append(seeds, fmt.Sprintf("%q", rig.mesh.Address(i, (i+1+k)%len(names))))
	}
	fmt.Fprintf(&text, "seeds = [%s]\n[membership.reach]\n", strings.Join(seeds, ", "))
	for j, name := range names {
		if j != i {
			fmt.Fprintf(&text, "%s = %q\n", name, rig.mesh.Address(i, j))
		}
	}
	rig.writeRolloutSection(&text, i)
	return os.WriteFile(rig.extensionsFile(names[i]), []byte(text.String()), 0o600)
}

// changeMemberAddress changes the address that a sidecar's membership listens at from its next start on.
func (rig *Rig) changeMemberAddress(i int) {
	rig.mu.Lock()
	rig.memberAddresses[i] = netip.AddrPortFrom(rig.memberAddresses[i].Addr(), rig.memberAddresses[i].Port()+5)
	address := rig.memberAddresses[i]
	rig.mu.Unlock()
	rig.mesh.SetAddress(i, address)
}

// Cut starts or ends the loss of all that sidecar from sends to sidecar to, and records it for the judge.
func (rig *Rig) Cut(from, to int, on bool) {
	names := rig.scenario.SidecarNames()
	begun := rig.clock.Now()
	if rig.mesh != nil {
		rig.mesh.Cut(from, to, on)
	}
	if rig.datagrams != nil {
		rig.datagrams.Link(from, to, func(link *network.Link) { link.Cut = on })
	}
	if !on { // the cut counts as active until it has certainly ended
		begun = rig.clock.Now()
	}
	rig.mu.Lock()
	defer rig.mu.Unlock()
	rig.cuts = append(rig.cuts, judge.Cut{At: begun, From: names[from], To: names[to], Blocked: on})
}

// faultLinks runs a fault on the links between sidecars.
func (rig *Rig) faultLinks(event plan.Event) {
	names := rig.scenario.SidecarNames()
	each := func(do func(i, j int)) {
		for i, from := range names {
			for j, to := range names {
				if i != j && slices.Contains(event.Names, from) && slices.Contains(event.Others, to) && (event.What != "part" || !slices.Contains(event.Names, to)) {
					do(i, j)
				}
			}
		}
	}
	change := func(on bool) {
		each(func(i, j int) {
			if event.What == "cut_word" || event.What == "part" {
				rig.Cut(i, j, on)
				if event.What == "part" {
					rig.Cut(j, i, on)
				}
				return
			}
			link := func(settings *network.Link) {
				part := 0.0
				if on {
					part = event.Part
				}
				switch event.What {
				case "lose":
					settings.Lost = part
				case "double":
					settings.Doubled = part
				case "late":
					settings.Late, settings.By = part, event.By
				}
			}
			rig.Link(i, j, link)
		})
	}
	rig.mark("ways: %s %v to %v", event.What, event.Names, event.Others)
	change(true)
	rig.waitUntil(event.At.M() + event.For.M())
	change(false)
	rig.mark("ways: %s ends", event.What)
}

// Link changes how datagrams pass between two sidecars.
func (rig *Rig) Link(i, j int, change func(*network.Link)) {
	if rig.mesh != nil {
		rig.mesh.Link(i, j, change)
	}
	if rig.datagrams != nil {
		rig.datagrams.Link(i, j, change)
	}
}

// SetAllLinks sets loss, duplication and delay for datagrams on all links between sidecars.
func (rig *Rig) SetAllLinks(lost, doubled, late float64, by Micros) {
	for i := range rig.sidecars {
		for j := range rig.sidecars {
			if i != j {
				rig.Link(i, j, func(link *network.Link) {
					link.Lost, link.Doubled, link.Late, link.By = lost, doubled, late, scenario.Span(by)
				})
			}
		}
	}
}

// CPU returns the CPU time that sidecar i's processes have used.
func (rig *Rig) CPU(i int) time.Duration {
	cpu, _ := rig.sidecars[i].Usage()
	return cpu
}

// Table is the member table of a running sidecar, as it reports it.
type Table struct {
	States  map[string]string // membership state of each other member, by name
	Ways    map[string]string // by name: in which direction a cut link loses messages
	Part    string            // whether it is in the greater part of a split group, a lesser one, or alone
	Senders int               // how many sidecars it assumes to be sending requests
	Counts  map[string]int64  // message counters by kind
	Holds   map[string]int    // by name: how often the suspicion timeout is doubled
}

// Table fetches sidecar i's table from its own address, bypassing the gates between sidecars.
func (rig *Rig) Table(i int) (*Table, error) {
	rig.mu.Lock()
	address := rig.memberAddresses[i]
	rig.mu.Unlock()
	conn, err := net.DialTimeout("tcp", address.String(), 2*time.Second)
	if err != nil {
		return nil, err
	}
	defer conn.Close()
	conn.SetDeadline(time.Now().Add(2 * time.Second))
	const query = "ledgespread members 1"
	if _, err := conn.Write(append(binary.BigEndian.AppendUint32(nil, uint32(len(query))), query...)); err != nil {
		return nil, err
	}
	var head [4]byte
	if _, err := io.ReadFull(conn, head[:]); err != nil {
		return nil, err
	}
	text, err := io.ReadAll(conn)
	if err != nil {
		return nil, err
	}
	var tree map[string]any
	if err := json.Unmarshal(text, &tree); err != nil {
		return nil, err
	}
	table := &Table{States: map[string]string{}, Ways: map[string]string{}, Counts: map[string]int64{}, Holds: map[string]int{}}
	table.Part, _ = tree["part"].(string)
	senders, _ := tree["senders"].(float64)
	table.Senders = int(senders)
	counts, _ := tree["counts"].(map[string]any)
	for name, value := range counts {
		count, _ := value.(float64)
		table.Counts[name] = int64(count)
	}
	lines, _ := tree["members"].([]any)
	for _, value := range lines {
		line, _ := value.(map[string]any)
		name, _ := line["name"].(string)
		if line["self"] == true {
			continue
		}
		table.States[name], _ = line["state"].(string)
		if way, cut := line["way"].(string); cut {
			table.Ways[name] = way
		}
		holds, _ := line["holds"].(float64)
		table.Holds[name] = int(holds)
	}
	return table, nil
}

// AwaitTables polls these sidecars until the condition has held for each at least once, and returns how long that
// took. It returns an error when the timeout passes first.
func (rig *Rig) AwaitTables(members []int, timeout time.Duration, holds func(i int, table *Table) bool) (Micros, error) {
	begun := rig.clock.Now()
	last := map[int]string{}
	for waiting := slices.Clone(members); ; (5 * clock.Milli).Sleep() {
		waiting = slices.DeleteFunc(waiting, func(i int) bool {
			table, err := rig.Table(i)
			last[i] = fmt.Sprint(table, err)
			return err == nil && holds(i, table)
		})
		if took := rig.clock.Now() - begun; len(waiting) == 0 {
			return took, nil
		} else if took > clock.Span(timeout) {
			return took, fmt.Errorf("after %v n%d has the member table %s", took.Duration(), waiting[0], last[waiting[0]])
		}
	}
}

// AliveExactly returns a condition: a table holds exactly these members as alive. A member behind a cut link has the
// state "cut", so it doesn't count as alive.
func AliveExactly(alive []int) func(i int, table *Table) bool {
	return func(i int, table *Table) bool {
		count := 0
		for name, state := range table.States {
			expected := slices.ContainsFunc(alive, func(j int) bool { return name == fmt.Sprint("n", j) })
			if expected != (state == "alive") {
				return false
			}
			if expected {
				count++
			}
		}
		return count == len(alive)-1
	}
}

// HasState returns a condition: a table has the named member in this state.
func HasState(name, state string) func(int, *Table) bool {
	return func(_ int, table *Table) bool { return table.States[name] == state }
}

// Signal sends a signal to sidecar i's process and records it for the judge.
func (rig *Rig) Signal(i int, signal syscall.Signal) { rig.sidecars[i].Signal(signal) }

// Kill kills sidecar i's process, and stops the application instance beside it.
func (rig *Rig) Kill(i int) {
	rig.clients.SetDown(i, true)
	rig.sidecars[i].Kill()
}

// Start restarts sidecar i after Kill; with move, at another membership address.
func (rig *Rig) Start(i int, move bool) error {
	if move {
		rig.changeMemberAddress(i)
	}
	err := rig.sidecars[i].Start(readyWithin)
	if err == nil {
		rig.clients.SetDown(i, false)
	}
	return err
}

// StopSending stops sending new visits: the run ends when those in flight have ended.
func (rig *Rig) StopSending() { rig.clients.StopSending() }

// Now returns the current time on the run's clock.
func (rig *Rig) Now() Micros { return rig.clock.Now() }

// MemberAddress returns the address that sidecar i's membership listens at.
func (rig *Rig) MemberAddress(i int) netip.AddrPort {
	rig.mu.Lock()
	defer rig.mu.Unlock()
	return rig.memberAddresses[i]
}

// Mesh returns the gates between members.
func (rig *Rig) Mesh() *network.Mesh { return rig.mesh }

// StateReports returns the membership states that sidecars logged about other members, ordered by time.
func (rig *Rig) StateReports() (out []judge.StateChange) {
	for _, sidecar := range rig.sidecars {
		out = append(out, judge.ReadStateChanges(sidecar.Name, sidecar.Lines())...)
	}
	slices.SortStableFunc(out, func(a, b judge.StateChange) int { return int(a.At - b.At) })
	return out
}

// GroundTruth returns what really happened to the sidecars and their links, to check StateReports against.
func (rig *Rig) GroundTruth() *judge.GroundTruth {
	truth := &judge.GroundTruth{Cuts: rig.cuts}
	for _, sidecar := range rig.sidecars {
		truth.Sidecars = append(truth.Sidecars, judge.SidecarAccount{Name: sidecar.Name, Zone: sidecar.Zone,
			Processes: sidecar.Processes(), Pauses: sidecar.Pauses()})
	}
	return truth
}

// Lines returns the log lines of sidecar i that hold its marker, as its membership writes them.
func (rig *Rig) Lines(i int) (out []string) {
	for _, line := range rig.sidecars[i].Lines() {
		out = append(out, line.Text)
	}
	return out
}
