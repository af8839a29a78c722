package scale

// Snapshots of a fleet's counters.

import (
	"bufio"
	"encoding/hex"
	"fmt"
	"net/netip"
	"os"
	"strconv"
	"strings"
	"time"

	"ledgespread/internal/counters"
	"ledgespread/lab/clients"
	"ledgespread/lab/hollow"
	"ledgespread/lab/sidecars"
)

// snapshot is a snapshot of all counters of a fleet.
type snapshot struct {
	at             time.Time
	in, out        []hollow.KindCounts // by number, as recorded at the receivers
	visits         []int               // by number, of hollow sidecars only
	sidecars       []process           // real ones, then silent ones
	members        []map[string]int64  // by number
	discovery      []discoveryStats    // by number, then the silent ones
	sent           int64               // messages between sidecars, by the senders' counters
	receivedTotal  int64               // by the receivers' counters
	refused        int64
	receivedByReal int64 // received by real sidecars, by their own counters
	drops          drops
	calls          [countedSeconds]int
}

// process is the resource usage of a real sidecar.
type process struct {
	cpu    time.Duration
	memory int // resident, in KiB
	files  int
	visits int64
}

// discoveryStats counts one sidecar's calls of the discovery service and their bytes.
type discoveryStats struct {
	calls, in, out int64
	callRate       float64 // calls a second
}

// perCall returns bytes divided by the number of calls.
func (a discoveryStats) perCall(bytes int64) float64 {
	return float64(bytes) / float64(max(a.calls, 1))
}

// drops counts datagrams that the kernel dropped because the receiver's buffer was full.
type drops struct{ peerMessages, members int64 }

// takeSnapshot reads all counters of the fleet.
func (f *fleet) takeSnapshot() (*snapshot, error) {
	snap := &snapshot{at: time.Now()}
	snap.in, snap.out = f.account.Snapshot()
	snap.members, snap.visits = make([]map[string]int64, f.size.Sidecars), make([]int, f.size.Sidecars)
	for index, sidecar := range f.sidecars {
		cpu, _ := sidecar.Usage()
		files, _ := os.ReadDir(fmt.Sprintf("/proc/%d/fd", sidecar.Pid()))
		usage := process{cpu: cpu, memory: sidecars.Memory(sidecar.Pid()), files: len(files)}
		_, body, err := clients.Ask(sidecar.Address, "/-/counters")
		if err != nil {
			return nil, fmt.Errorf("%s: %w", sidecar.Name, err)
		}
		counts := hollow.ReadCounts(body)
		usage.visits = counts["visits_taken"]
		snap.sidecars = append(snap.sidecars, usage)
		if index < f.run.Real {
			snap.sent, snap.receivedTotal, snap.refused = snap.sent+counts["notes_sent"], snap.receivedTotal+counts["notes_heard"], snap.refused+counts["notes_refused"]
			snap.receivedByReal += counts["notes_heard"]
			snap.members[index] = map[string]int64{}
			for name, count := range counts {
				if short, ok := strings.CutPrefix(name, "members_"); ok {
					snap.members[index][short] = count
				}
			}
		}
	}
	for _, hollowSidecar := range f.hollow {
		snap.sent += hollowSidecar.Counts[counters.MessagesSent].Load()
		snap.receivedTotal += hollowSidecar.Counts[counters.MessagesReceived].Load()
		snap.refused += hollowSidecar.Counts[counters.MessagesRejected].Load()
		snap.visits[hollowSidecar.Number] = hollowSidecar.Snapshot().Visits
		snap.members[hollowSidecar.Number] = map[string]int64{}
		for name, count := range hollowSidecar.MemberCounts() {
			snap.members[hollowSidecar.Number][strings.TrimPrefix(name, "members_")] = count
		}
	}
	for _, reader := range f.readers {
		snap.discovery = append(snap.discovery, discoveryStats{reader.Calls.Load(), reader.In.Load(), reader.Out.Load(), reader.CallRate()})
	}
	snap.calls, _ = f.service.callCounts()
	var err error
	snap.drops, err = f.readDrops()
	return snap, err
}

// readDrops reads the kernel's drop counters of this fleet's sockets from /proc/net/udp.
func (f *fleet) readDrops() (dropped drops, err error) {
	file, err := os.Open("/proc/net/udp")
	if err != nil {
		return dropped, err
	}
	defer file.Close()
	counts := map[netip.AddrPort]*int64{}
	for i := range f.size.Sidecars {
		counts[f.address(peerAddress, i)], counts[f.address(membershipAddress, i)] = &dropped.peerMessages, &dropped.members
	}
	scanner := bufio.NewScanner(file)
	for scanner.Scan() {
		fields := strings.Fields(scanner.Text())
		if len(fields) < 13 {
			continue
		}
		if at, ok := hexAddress(fields[1]); ok && counts[at] != nil {
			count, _ := strconv.ParseInt(fields[len(fields)-1], 10, 64)
			*counts[at] += count
		}
	}
	return dropped, scanner.Err()
}

// hexAddress parses an IPv4 address and port as /proc/net/udp prints them: hexadecimal, the address in little-endian
// order.
func hexAddress(text string) (netip.AddrPort, bool) {
	ip, port, ok := strings.Cut(text, ":")
	raw, err := hex.DecodeString(ip)
	if !ok || err != nil || len(raw) != 4 {
		return netip.AddrPort{}, false
	}
	p, err := strconv.ParseUint(port, 16, 16)
	return netip.AddrPortFrom(netip.AddrFrom4([4]byte{raw[3], raw[2], raw[1], raw[0]}), uint16(p)), err == nil
}
