package scale

// Limits of the machine, checked before a run starts.

import (
	"fmt"
	"os"
	"runtime"
	"strconv"
	"strings"
	"syscall"
)

// Limits on a run, and estimates of what each of its parts needs. The estimates are rounded up.
const (
	memoryFraction = 0.5 // fraction of the machine's memory that a run may use
	maxProcesses   = 300

	sidecarBytes      = 48 << 20  // bytes of a real sidecar
	hollowBytes       = 640 << 10 // bytes of a hollow sidecar,
	knownSidecarBytes = 1 << 10   // and additional bytes for each sidecar that it knows
	serverBytes       = 24 << 10  // bytes of a test server

	filesPerHollow        = 8        // of a hollow sidecar: messages, membership, both ends of its discovery connection
	baseFiles             = 400      // the forwarding sockets between real sidecars, and the lab's own files
	messagesPerVisit      = 8.0      // peer messages per visit, sent and received
	messagesPerCoreSecond = 14_000.0 // messages per second that one core can carry
)

// machine describes the resources of the machine.
type machine struct {
	cores  int
	memory int64 // bytes
	files  int64
}

// localMachine returns the resources of this machine.
func localMachine() (local machine) {
	local.cores = runtime.NumCPU()
	text, _ := os.ReadFile("/proc/meminfo")
	for line := range strings.Lines(string(text)) {
		if rest, ok := strings.CutPrefix(line, "MemTotal:"); ok {
			kib, _ := strconv.ParseInt(strings.Fields(rest)[0], 10, 64)
			local.memory = kib << 10
		}
	}
	var limit syscall.Rlimit
	if syscall.Getrlimit(syscall.RLIMIT_NOFILE, &limit) == nil {
		local.files = int64(limit.Cur)
	}
	return local
}

func (m machine) String() string {
	return fmt.Sprintf("%d cores, %.0f GB", m.cores, float64(m.memory)/1e9)
}

// needs is an estimate of the resources that a size takes.
type needs struct {
	processes     int
	memory, files int64
	messages      float64 // per second, caused by visits
}

// needs estimates the resources for a size.
func (r *Run) needs(fleetSize Size) (estimate needs) {
	estimate.processes = r.Real + r.Silent + 1
	hollow := int64(max(fleetSize.Sidecars-r.Real, 0))
	estimate.memory = int64(r.Real+r.Silent)*sidecarBytes + hollow*(hollowBytes+int64(fleetSize.Sidecars)*knownSidecarBytes) +
		int64(fleetSize.Servers)*serverBytes
	// A real sidecar keeps a connection to each server that it used recently, and up to 32 for its clients.
	connections := int64(min(float64(fleetSize.Servers), 10*float64(fleetSize.Visits))) + 32
	estimate.files = hollow*filesPerHollow + int64(fleetSize.Servers) + int64(r.Real+r.Silent)*connections + int64(r.Real*r.Real) + baseFiles
	if fleetSize.Servers < fleetSize.Sidecars {
		estimate.messages = float64(fleetSize.Sidecars) * float64(fleetSize.Visits) * messagesPerVisit
	}
	return estimate
}

// checkMachine returns an error that names the first size that exceeds a limit of the machine.
func (r *Run) checkMachine(available machine) error {
	for _, fleetSize := range r.socketSizes() {
		needed := r.needs(fleetSize)
		switch {
		case needed.processes > maxProcesses:
			return fmt.Errorf("%s: %v would run %d processes, and the limit is %d", r.File, fleetSize, needed.processes, maxProcesses)
		case float64(needed.memory) > memoryFraction*float64(available.memory):
			return fmt.Errorf("%s: %v would take about %d MB, and half of this machine's memory is %d MB", r.File, fleetSize, needed.memory>>20, int64(memoryFraction*float64(available.memory))>>20)
		case needed.files > available.files:
			return fmt.Errorf("%s: %v would open about %d files, and the limit is %d", r.File, fleetSize, needed.files, available.files)
		case needed.messages > messagesPerCoreSecond*float64(available.cores):
			return fmt.Errorf("%s: %v would send about %.0f messages a second, and %d cores carry about %.0f: run it in simulated time ([[simulated]])", r.File, fleetSize,
				needed.messages, available.cores, messagesPerCoreSecond*float64(available.cores))
		}
	}
	return nil
}
