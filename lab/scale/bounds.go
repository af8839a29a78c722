package scale

import (
	"fmt"
	"os"
	"runtime"
	"strconv"
	"strings"
	"syscall"
)

// Bounds that the operators set, and what one of each costs (measured, and rounded up).
const (
	memoryPart    = 0.5 // of the machine's
	mostProcesses = 300

	perProcess = 48 << 20  // bytes of a real sidecar
	perHollow  = 640 << 10 // bytes of a hollow one, and
	perLine    = 1 << 10   // for each other that it knows
	perServer  = 24 << 10  // bytes of a server's stand-in

	filesEach    = 8   // of a hollow sidecar: messages, membership, the list's two ends
	filesBesides = 400 // the gates between real ones, the lab's own
	aVisit       = 8.0 // messages of a visit, sent and received
	aSecond      = 14_000.0
)

// machine is what there is.
type machine struct {
	cores  int
	memory int64 // bytes
	files  int64
}

func here() (m machine) {
	m.cores = runtime.NumCPU()
	text, _ := os.ReadFile("/proc/meminfo")
	for line := range strings.Lines(string(text)) {
		if rest, ok := strings.CutPrefix(line, "MemTotal:"); ok {
			kib, _ := strconv.ParseInt(strings.Fields(rest)[0], 10, 64)
			m.memory = kib << 10
		}
	}
	var limit syscall.Rlimit
	if syscall.Getrlimit(syscall.RLIMIT_NOFILE, &limit) == nil {
		m.files = int64(limit.Cur)
	}
	return m
}

func (m machine) String() string {
	return fmt.Sprintf("%d cores, %.0f GB", m.cores, float64(m.memory)/1e9)
}

// needs are what a size takes of the machine.
type needs struct {
	processes     int
	memory, files int64
	messages      float64 // a second, of visits
}

func (r *Run) needs(z Size) (n needs) {
	n.processes = r.Real + r.Silent + 1
	hollow := int64(max(z.Sidecars-r.Real, 0))
	n.memory = int64(r.Real+r.Silent)*perProcess + hollow*(perHollow+int64(z.Sidecars)*perLine) + int64(z.Servers)*perServer
	// A real sidecar keeps a connection to each server that it lately sent to, and its clients some.
	lines := int64(min(float64(z.Servers), 10*float64(z.Visits))) + 32
	n.files = hollow*filesEach + int64(z.Servers) + int64(r.Real+r.Silent)*lines + int64(r.Real*r.Real) + filesBesides
	if z.Servers < z.Sidecars {
		n.messages = float64(z.Sidecars) * float64(z.Visits) * aVisit
	}
	return n
}

// fits tells, before anything starts, which size goes over which bound of the machine.
func (r *Run) fits(m machine) error {
	for _, z := range r.all() {
		n := r.needs(z)
		switch {
		case n.processes > mostProcesses:
			return fmt.Errorf("%s: %v would run %d processes, and %d is the bound", r.File, z, n.processes, mostProcesses)
		case float64(n.memory) > memoryPart*float64(m.memory):
			return fmt.Errorf("%s: %v would take some %d MB, and half of this machine's memory is %d MB", r.File, z, n.memory>>20, int64(memoryPart*float64(m.memory))>>20)
		case n.files > m.files:
			return fmt.Errorf("%s: %v would open some %d files, and the limit is %d", r.File, z, n.files, m.files)
		case n.messages > aSecond*float64(m.cores):
			return fmt.Errorf("%s: %v would send some %.0f messages a second, and %d cores carry some %.0f: play it in simulated time ([[simulated]])", r.File, z,
				n.messages, m.cores, aSecond*float64(m.cores))
		}
	}
	return nil
}
