package sim

// sidecar.go: simulated sidecars, the network between them and their servers, and the rule checks.

import (
	"fmt"
	"maps"
	"slices"

	"ledgespread/brain"
	"ledgespread/decide/summary"
)

// Ending is how a visit ended.
type Ending uint8

const (
	Open      Ending = iota // not yet answered
	Delivered               // answered by a server
	Rejected                // rejected; the client may safely retry
	Failed                  // answered with an error page; a retry may be unsafe
	Abandoned               // the client disconnected, or the sidecar stopped
)

// Visit is one client request at one sidecar.
type Visit struct {
	ID        brain.RequestID
	Class     brain.ClassID
	Effect    string
	Work      Micros // service time at the server
	StartedAt Micros
	Deadline  Micros // client timeout
	Ending    Ending
	Attempts  []*Attempt
	UserData  any // data of the caller, not read by this package
	sidecar   *Sidecar
	ended     func(*Visit)
}

// Attempt is one attempt to send a visit to a server.
type Attempt struct {
	*Visit
	Index     brain.AttemptIndex
	Server    brain.ServerID
	SentAt    Micros
	Result    brain.Result // 0 while outstanding
	KnewStart bool         // the sidecar's server list had the current start time of the server
	OnCancel  func()       // set by a server that supports cancellation; runs when the attempt is cancelled
	fate      *Fate
}

// Fate records what happened to an attempt at its server.
type Fate struct {
	Arrived, Ran bool
}

// Sidecar is one decision module with a simulation of the rest of the sidecar process.
type Sidecar struct {
	B                 *brain.Balancer
	Me                brain.Peer
	Zone              brain.Zone
	Down              bool
	Starts            map[brain.ServerID]Micros // start time of each server, by the latest list
	Leaving           map[brain.ServerID]Micros // when the list first showed the server as leaving
	net               *Network
	ownSettings       brain.Settings
	overrides         brain.Settings // a distributed configuration that overrides ownSettings
	classes           []class
	visits            map[brain.RequestID]*Visit
	processCount      int // number of processes started so far
	FirstAttempts     int // first attempts of visits
	Retries           int
	MessagesSent      int // messages sent to other sidecars; the byte counts include headers
	MessagesReceived  int
	BytesOut, BytesIn int64
	aggregator        *summary.Aggregator // nil if messages are sent without aggregation
	Hooks             Hooks
}

// Hooks are optional callbacks for tests and measurements.
type Hooks struct {
	AttemptSent func(*Attempt) // called for each attempt that is sent
}

// Network is the simulated network among sidecars and between sidecars and servers.
type Network struct {
	*Clock
	OneWayDelay           Micros // one-way delay between any two processes
	Servers               map[brain.ServerID]*Server
	Sidecars              []*Sidecar                           // all in one pool: they exchange messages
	Partitioned           func(from, to *Sidecar) bool         // reports whether messages between the sidecars are lost; nil: never
	Unreachable           func(from *Sidecar, to *Server) bool // reports whether the server is unreachable; nil: never
	Grace                 Micros                               // how long attempts may still be sent after the list shows that a server leaves
	AlterSettings         func(brain.Settings)                 // injected fault: changes the settings that the modules receive, not those that the rules are checked by
	MessageBytesPerSecond float64                              // limit on a sidecar's message traffic, in and out, in bytes per second; 0: unlimited
	MalformedMessages     int                                  // malformed messages received
	HideDrains            bool                                 // injected fault: the modules do not learn that servers leave
	Violations            [5]int                               // violations by rule number
	FirstViolation        string                               // description of the first violation
	next                  brain.RequestID
}

// Server is a simulated server. Accept receives the attempts that arrive. A server that Refuses rejects connections; one
// that is Silent never replies.
type Server struct {
	ID          brain.ServerID
	Zone        brain.Zone
	Started     Micros // 0: started long before the run
	Refuses     bool
	Silent      bool
	Accept      func(*Attempt)
	Outstanding map[*Attempt]struct{} // accepted but not yet answered
}

// NewNetwork returns a network without servers or sidecars.
func NewNetwork(c *Clock, oneWayDelay Micros) *Network {
	return &Network{Clock: c, OneWayDelay: oneWayDelay, Servers: map[brain.ServerID]*Server{}}
}

// AddServer adds a server to the network.
func (n *Network) AddServer(server *Server) *Server {
	server.Outstanding = map[*Attempt]struct{}{}
	n.Servers[server.ID] = server
	return server
}

// AddSidecar adds a sidecar to the network and starts its first process. It copies the settings and sets the sidecar's own
// number and zone in the copy.
func (n *Network) AddSidecar(zone brain.Zone, seed uint64, site brain.Settings) (*Sidecar, error) {
	sidecar := &Sidecar{Me: brain.Peer(len(n.Sidecars)), Zone: zone, net: n, ownSettings: brain.Settings{}}
	for name, value := range site {
		sidecar.ownSettings[name] = value
	}
	sidecar.ownSettings["me"], sidecar.ownSettings["my_zone"] = float64(sidecar.Me), float64(zone)
	for i := range int(site["path_prefixes"].(float64)) { // the rules are checked by the settings before AlterSettings changes them
		prefix := fmt.Sprintf("path_prefixes.%d.", i)
		sidecar.classes = append(sidecar.classes, class{site[prefix+"effect"].(string), site[prefix+"group"].(string),
			Micros(site[prefix+"memory_span_us"].(float64))})
	}
	if n.AlterSettings != nil {
		n.AlterSettings(sidecar.ownSettings)
	}
	n.Sidecars = append(n.Sidecars, sidecar)
	return sidecar, sidecar.Start(seed)
}

// Start starts a new process of the sidecar: the first, or the next one after Stop.
func (s *Sidecar) Start(seed uint64) (err error) {
	s.processCount++
	s.Down, s.visits = false, map[brain.RequestID]*Visit{}
	s.Starts, s.Leaving = map[brain.ServerID]Micros{}, map[brain.ServerID]Micros{}
	callbacks := ports{s, s.processCount}
	if s.net.MessageBytesPerSecond > 0 {
		s.aggregator = summary.New(summary.Config{BytesPerSecond: s.net.MessageBytesPerSecond, Sidecars: int(s.ownSettings["balancers"].(float64)), Self: s.Me, Seed: seed,
			MaxClientTimeout: Micros(s.ownSettings["path_prefixes.0.client_timeout_us"].(float64))}, callbacks)
	}
	s.B, err = brain.New(s.net.Now, s.settings(), seed, callbacks)
	return err
}

// settings returns the settings in force: ownSettings, overridden by the distributed configuration.
func (s *Sidecar) settings() brain.Settings {
	merged := maps.Clone(s.ownSettings)
	maps.Copy(merged, s.overrides)
	return merged
}

// OverrideSettings applies a configuration over the sidecar's own settings without a restart, replacing the previous one. The rules
// are still checked by the settings that the sidecar joined with, so the configuration must not be looser than those.
func (s *Sidecar) OverrideSettings(overrides brain.Settings) error {
	if s.overrides = overrides; s.Down {
		return nil
	}
	return s.B.UpdateSettings(s.net.Now, s.settings())
}

// Stop kills the sidecar's process. Its open visits end as Abandoned, which does not count as a rule violation.
func (s *Sidecar) Stop() {
	s.Down = true
	for _, visit := range s.sortedVisits() {
		if visit.Ending == Open {
			s.end(visit, Abandoned)
		}
		for _, attempt := range visit.Attempts {
			if attempt.Result == 0 {
				attempt.Result = brain.Cancelled
				s.net.cancelAtServer(attempt)
			}
		}
	}
	s.visits = map[brain.RequestID]*Visit{}
}

// sortedVisits returns the sidecar's visits sorted by ID, for reproducible runs.
func (s *Sidecar) sortedVisits() []*Visit {
	all := make([]*Visit, 0, len(s.visits))
	for _, visit := range s.visits {
		all = append(all, visit)
	}
	slices.SortFunc(all, func(a, b *Visit) int { return int(a.ID) - int(b.ID) })
	return all
}

// ListEntry is one server in a server list.
type ListEntry struct {
	ID      brain.ServerID
	Zone    brain.Zone
	State   brain.ServerState // as discovery reports it
	Started Micros
}

// DeliverList delivers a server list, complete or with changes only, to the sidecar.
func (s *Sidecar) DeliverList(kind brain.ListKind, lines ...ListEntry) {
	if s.Down {
		return
	}
	now := s.net.Now
	s.B.BeginList(now, kind)
	for _, entry := range lines {
		if !s.net.HideDrains || entry.State == brain.Ready {
			s.B.ListServer(now, entry.ID, entry.Zone, brain.Cell(entry.Zone), entry.State, 1, entry.Started)
		}
		if entry.State == brain.Ready {
			s.Starts[entry.ID] = entry.Started
			delete(s.Leaving, entry.ID)
		} else if _, known := s.Leaving[entry.ID]; !known {
			s.Leaving[entry.ID] = now
		}
	}
	s.B.EndList(now)
}

// Visit starts a visit and calls ended once it has ended. left is the client timeout; hint is the expected service time
// that the client declares, or 0 for none.
func (s *Sidecar) Visit(classID brain.ClassID, work, hint, left Micros, carries any, ended func(*Visit)) *Visit {
	return s.VisitWithDeclaredTimeout(classID, work, hint, left, left, carries, ended)
}

// VisitWithDeclaredTimeout is like Visit, but declares to the module a client timeout (declared) that differs from the
// real one (left).
func (s *Sidecar) VisitWithDeclaredTimeout(classID brain.ClassID, work, hint, left, declared Micros, carries any, ended func(*Visit)) *Visit {
	network := s.net
	network.next++
	visit := &Visit{ID: network.next, Class: classID, Effect: s.classes[classID].effect, Work: work, StartedAt: network.Now,
		Deadline: network.Now + left,
		UserData: carries, sidecar: s, ended: ended}
	if s.Down {
		visit.Ending = Abandoned
		network.After(1, func() { ended(visit) })
		return visit
	}
	s.visits[visit.ID] = visit
	process := s.processCount
	network.At(visit.Deadline+1, func() {
		if visit.Ending == Open && process == s.processCount && !s.Down {
			network.recordViolation(1, "visit %d had no answer in time", visit.ID)
		}
	})
	s.B.HandleRequest(network.Now, visit.ID, classID, 0, declared, hint, false, false)
	return visit
}

// Disconnect reports to the module that the client of a visit has disconnected.
func (s *Sidecar) Disconnect(visit *Visit) {
	if visit.Ending != Open || s.Down {
		return
	}
	visit.Ending = Abandoned
	s.B.HandleDisconnect(s.net.Now, visit.ID)
}

// end records the final answer of a visit and checks that it is the only one.
func (s *Sidecar) end(visit *Visit, ending Ending) {
	if visit.Ending == Abandoned {
		return
	}
	if visit.Ending != Open {
		s.net.recordViolation(1, "visit %d was answered twice", visit.ID)
		return
	}
	visit.Ending = ending
	if visit.ended != nil {
		s.net.After(0, func() { visit.ended(visit) })
	}
}

// recordViolation records a violation of a rule.
func (n *Network) recordViolation(rule int, format string, values ...any) {
	n.Violations[rule]++
	if n.FirstViolation == "" {
		n.FirstViolation = fmt.Sprintf("rule %d at %.3f s: ", rule, float64(n.Now)/1e6) + fmt.Sprintf(format, values...)
	}
}

// ViolationCount returns the number of violations of all rules.
func (n *Network) ViolationCount() (all int) {
	for _, count := range n.Violations {
		all += count
	}
	return all
}

// retrySafe reports whether it is safe, given the results of earlier attempts, to send the visit to a server or, if server is
// nil, to invite its client to retry.
func (v *Visit) retrySafe(now Micros, server *Server) bool {
	if v.Effect == "read_like" {
		return true
	}
	class := v.sidecar.classes[v.Class]
	for _, attempt := range v.Attempts {
		notProcessed := attempt.Result == brain.Overloaded || attempt.Result == brain.ConnectFailed || attempt.Result == brain.NeverSent
		if notProcessed {
			continue
		}
		if v.Effect != "tagged" || now >= attempt.SentAt+class.window || server == nil && class.group != "all" ||
			server != nil && class.group == "zone" && v.sidecar.net.Servers[attempt.Server].Zone != server.Zone {
			return false
		}
	}
	return true
}
