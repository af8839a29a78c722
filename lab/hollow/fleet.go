package hollow

import (
	"hash/fnv"
	"sync"

	"ledgespread/brain"
	"ledgespread/internal/discovery"
)

// Fleet models the servers that hollow sidecars send requests to. Each server has a number of cores behind a bounded queue
// and processes one microsecond of work per microsecond and core. It is safe for concurrent use.
type Fleet struct {
	RoundTrip   brain.Micros // round-trip time, added to queueing and processing time
	cores       int
	maxQueueing brain.Micros // maximum queueing time; a request that would wait longer is rejected

	mu      sync.Mutex
	servers map[brain.ServerID]*server
}

type server struct {
	mu     sync.Mutex
	idleAt []brain.Micros // time at which each core becomes idle
}

// NewFleet returns a model of servers with this many cores each. A request that would queue for longer than maxQueueing is
// rejected as overload.
func NewFleet(cores int, maxQueueing, roundTrip brain.Micros) *Fleet {
	return &Fleet{RoundTrip: roundTrip, cores: cores, maxQueueing: maxQueueing, servers: map[brain.ServerID]*server{}}
}

// offer sends a request to a server, and returns its result and the time at which the sidecar receives it.
func (f *Fleet) offer(now brain.Micros, to brain.ServerID, work brain.Micros) (brain.Result, brain.Micros) {
	f.mu.Lock()
	target := f.servers[to]
	if target == nil {
		target = &server{idleAt: make([]brain.Micros, f.cores)}
		f.servers[to] = target
	}
	f.mu.Unlock()
	target.mu.Lock()
	defer target.mu.Unlock()
	next := 0
	for i, at := range target.idleAt {
		if at < target.idleAt[next] {
			next = i
		}
	}
	begin := max(now+f.RoundTrip/2, target.idleAt[next])
	if begin-now > f.maxQueueing+f.RoundTrip {
		return brain.Overloaded, now + f.RoundTrip
	}
	target.idleAt[next] = begin + work
	return brain.Succeeded, begin + work + f.RoundTrip/2
}

// Seed derives a random seed for item i of a named series from the run's seed.
func Seed(seed uint64, name string, i int) uint64 {
	hash := fnv.New64a()
	hash.Write([]byte{byte(seed), byte(seed >> 8), byte(seed >> 16), byte(seed >> 24), byte(i), byte(i >> 8)})
	hash.Write([]byte(name))
	return hash.Sum64()
}

// ServerID returns the server ID of a host name.
func ServerID(host string) brain.ServerID { return discovery.ServerID(host) }
