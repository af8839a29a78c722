package sidecar

import (
	"sync"

	"ledgespread/internal/inbound"
)

// availability is whether operators want this process in service. They may say so before it serves clients: the last call holds
// from its first client on.
type availability struct {
	mu           sync.Mutex
	outOfService bool
	clients      *inbound.Inbound // nil: no client is served yet
}

// setOutOfService takes the process out of service.
func (a *availability) setOutOfService() {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.outOfService = true
	if a.clients != nil {
		a.clients.OutOfService()
	}
}

// setInService puts the process back. It returns an error if the process is stopping.
func (a *availability) setInService() error {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.outOfService = false
	if a.clients == nil {
		return nil
	}
	return a.clients.InService()
}

// serve applies the last call to the server of the clients, which must not have accepted any.
func (a *availability) serve(clients *inbound.Inbound) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.clients = clients
	if a.outOfService {
		clients.OutOfService()
	}
}
