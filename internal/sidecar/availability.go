package sidecar

import (
	"sync"

	"ledgespread/internal/inbound"
)

// availability is whether operators want the sidecar in service. A process may be told so before it serves clients: the last
// call holds from its first client on.
type availability struct {
	mu           sync.Mutex
	outOfService bool
	clients      *inbound.Inbound // nil: no client is served yet
}

// set takes the sidecar out of service or puts it back.
func (a *availability) set(outOfService bool) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.outOfService = outOfService
	a.apply()
}

// begin applies the last call to the server of the clients, which must not accept any before.
func (a *availability) begin(clients *inbound.Inbound) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.clients = clients
	a.apply()
}

// apply passes on what is wanted, if clients are served. The caller holds the lock.
func (a *availability) apply() {
	switch {
	case a.clients == nil:
	case a.outOfService:
		a.clients.OutOfService()
	default:
		a.clients.InService()
	}
}
