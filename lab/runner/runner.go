// Package runner runs a scenario: it starts backends, network, discovery list, sidecars and clients, injects
// the faults at their planned times, and collects the records that the judge checks.
package runner

import (
	"errors"
	"fmt"
	"net/netip"
	"os"
	"slices"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"time"

	"ledgespread/lab/backend"
	"ledgespread/lab/clients"
	"ledgespread/lab/clock"
	"ledgespread/lab/judge"
	"ledgespread/lab/list"
	"ledgespread/lab/network"
	"ledgespread/lab/plan"
	"ledgespread/lab/report"
	"ledgespread/lab/scenario"
	"ledgespread/lab/sidecars"
)

type Micros = clock.Micros

// Options configure a run beyond its scenario.
type Options struct {
	Program   sidecars.Program
	OnMachine OnMachine       // runs sidecars where the scenario's machine fails; nil: Program is used there, too
	Seed      uint64          // 0: the scenario's seed
	Folder    string          // for configurations and logs; "": a temporary folder that is removed
	Watch     func(Snapshot)  // receives a snapshot of the run at intervals
	Every     Micros          // minimum interval between calls of Watch
	Stop      <-chan struct{} // ends the run early when closed
	Break     string          // a check of the lab to disable, to show that its proof then fails
}

// Snapshot is a snapshot of a run in progress.
type Snapshot struct {
	At, Length                                    Micros
	Sent, Delivered, Bounced, Errored, Lost, Open int64
	Backends                                      []BackendSnapshot
	Marks                                         []report.Mark
}

// BackendSnapshot is a snapshot of a backend.
type BackendSnapshot struct {
	Name, Zone  string
	Held        int
	Alive, Slow bool
}

// ErrStopped is returned when Options.Stop ended the run.
var ErrStopped = errors.New("stopped before its end")

const (
	readyWithin      = 15 * time.Second
	settleTime       = 200 * clock.Milli // from the last sidecar being ready to the first visit
	lateThreshold    = clock.Milli       // above this p99 delay of the lab's own timers a run counts as late
	concurrentStarts = 8                 // sidecars started concurrently
)

// Rig is one run on this machine: its backends, network, discovery list, sidecars and clients.
type Rig struct {
	scenario  *scenario.Scenario
	options   Options
	plan      *plan.Plan
	clock     *clock.Clock
	alarms    *clock.Alarms
	groups    *backend.Groups
	list      *list.List
	folder    string
	startTime Micros
	zones     map[string]string // zone of each sidecar, by name

	mu              sync.Mutex
	backends        []*backend.Backend
	byName          map[string]*backend.Backend
	gates           map[string]*network.Gate // by zone and backend address
	paths           map[string]*network.Path // by zone and backend
	sidecars        []*sidecars.Sidecar
	datagrams       *network.Datagrams
	mesh            *network.Mesh // between members
	memberAddresses []netip.AddrPort
	number          int64
	cuts            []judge.Cut
	clients         *clients.Clients
	outages         []clock.Interval
	disturbances    []*clock.Interval // in which the discovery service can't be relied on
	blocked         []judge.Block
	marks           []report.Mark
	notes           []string
	faults          sync.WaitGroup
	wallStep        Micros
	closed          bool
}

// Play runs a scenario once. It returns an error if the run failed; broken rules are listed in the report.
func Play(definition *scenario.Scenario, options Options) (result *report.Report, err error) {
	if options.Seed == 0 {
		options.Seed = definition.Seed
	}
	rig, err := NewRig(definition, options)
	if err != nil {
		return nil, err
	}
	defer rig.Close()
	return rig.Run()
}

// NewRig draws the plan, starts all parts and waits until they are ready. The caller must call Close.
func NewRig(definition *scenario.Scenario, options Options) (rig *Rig, err error) {
	drawn, err := plan.Draw(definition, options.Seed)
	if err != nil {
		return nil, err
	}
	runClock := clock.Start()
	newRig := &Rig{scenario: definition, options: options, plan: drawn, clock: runClock, alarms: runClock.NewAlarms(), groups: backend.NewGroups(), byName: map[string]*backend.Backend{},
		gates: map[string]*network.Gate{}, paths: map[string]*network.Path{}, list: list.New(runClock), zones: map[string]string{}}
	for i, name := range definition.SidecarNames() {
		newRig.zones[name] = definition.Zones[i%len(definition.Zones)]
	}
	defer func() {
		if err != nil {
			newRig.Close()
		}
	}()
	if newRig.folder = options.Folder; newRig.folder == "" {
		if newRig.folder, err = os.MkdirTemp("", "ledgelab-"); err != nil {
			return nil, err
		}
	} else if err = os.MkdirAll(newRig.folder, 0o755); err != nil {
		return nil, err
	}
	if err = newRig.startBackends(); err != nil {
		return nil, err
	}
	newRig.list.SetAnswerForms(list.Forms{FullFraction: definition.List.FullFraction, BatchInterval: definition.List.BatchInterval.M()})
	if err = newRig.startSidecars(); err != nil {
		return nil, err
	}
	var addresses []string
	for _, sidecar := range newRig.sidecars {
		addresses = append(addresses, sidecar.Address)
	}
	newRig.clients = clients.New(definition, drawn, addresses, runClock, newRig.alarms)
	newRig.clients.Skip = map[bool]int{true: 200}[options.Break == "skip"]
	return newRig, nil
}

// note adds a line to the report's notes; mark adds an event at the current time of the run.
func (rig *Rig) note(format string, values ...any) {
	rig.mu.Lock()
	defer rig.mu.Unlock()
	rig.notes = append(rig.notes, fmt.Sprintf(format, values...))
}

func (rig *Rig) mark(format string, values ...any) {
	rig.mu.Lock()
	defer rig.mu.Unlock()
	rig.marks = append(rig.marks, report.Mark{At: rig.clock.Now() - rig.startTime, What: fmt.Sprintf(format, values...)})
}

// Run plays the scenario on the started rig. Call it once.
func (rig *Rig) Run() (*report.Report, error) {
	cpu := rig.totalCPU()
	rig.startTime = rig.clock.Now() + settleTime
	for _, event := range rig.plan.Events {
		rig.faults.Add(1)
		rig.alarms.At(rig.startTime+event.At.M(), func() {
			go func() {
				defer rig.faults.Done()
				rig.runFault(event)
			}()
		})
	}
	var load []report.LoadLine
	stop, sampled := make(chan struct{}), make(chan struct{})
	go func() {
		defer close(sampled)
		load = rig.sampleLoad(stop)
	}()
	rig.clients.Begin(rig.startTime)
	finished := make(chan struct{})
	go func() { rig.clients.Wait(); close(finished) }()
	var err error
	select {
	case <-finished:
	case <-rig.options.Stop:
		err = ErrStopped
	}
	close(stop)
	<-sampled
	if err != nil {
		return nil, err
	}
	rig.faults.Wait()
	cpu = rig.totalCPU() - cpu
	rig.stopSidecars()
	accounts := rig.Accounts()
	rig.falsifyRecords(accounts)
	result := report.New(accounts)
	rig.addMeasurements(result, cpu, load)
	return result, nil
}

// stopSidecars stops the sidecars with SIGTERM, as a planned restart does. Failures go into the report's
// notes.
func (rig *Rig) stopSidecars() {
	var all sync.WaitGroup
	for _, sidecar := range rig.sidecars {
		all.Add(1)
		go func() {
			defer all.Done()
			if err := sidecar.Stop((rig.scenario.LongestTimeout() + 2*clock.Second).Duration()); err != nil {
				rig.note("%v", err)
			}
		}()
	}
	all.Wait()
}

func (rig *Rig) totalCPU() (sum time.Duration) {
	for _, sidecar := range rig.sidecars {
		cpu, _ := sidecar.Usage()
		sum += cpu
	}
	return sum
}

// addMeasurements adds to the report what the rig measured: load, CPU time, memory, lateness and notes.
func (rig *Rig) addMeasurements(result *report.Report, cpu time.Duration, load []report.LoadLine) {
	rig.mu.Lock()
	defer rig.mu.Unlock()
	result.Program, result.Load, result.Marks = rig.options.Program.Name, load, rig.marks
	var spent, probes, could Micros
	for _, measured := range rig.backends {
		opened, _, probed, unparsed, _ := measured.Tally()
		all, probing := measured.CoreTime()
		spent, probes = spent+all, probes+probing
		could += Micros(measured.Config.Cores) * rig.scenario.Length.M()
		result.Opened, result.Probed = result.Opened+opened, result.Probed+probed
		if unparsed > 0 {
			result.Notes = append(result.Notes, fmt.Sprintf("%s was sent %d messages that it could not read", measured.Name, unparsed))
		}
	}
	result.Busy, result.ProbeTime = float64(spent)/float64(max(could, 1)), float64(probes)/float64(max(spent, 1))
	for _, sidecar := range rig.sidecars {
		_, kib := sidecar.Usage()
		result.MemoryKiB = max(result.MemoryKiB, kib)
	}
	result.CPUVisit = float64(cpu.Microseconds()) / float64(max(result.Tries, 1))
	result.Calls = rig.list.Calls
	late := rig.alarms.Lateness()
	result.LateP99, result.LateMax = late.Quantile(0.99), late.Max()
	result.RanLate = result.LateP99 > lateThreshold
	result.Notes = append(result.Notes, rig.notes...)
}

// falsifyRecords falsifies the records as Options.Break says, to show that the judge notices it.
func (rig *Rig) falsifyRecords(accounts *judge.Accounts) {
	if rule, ok := strings.CutPrefix(rig.options.Break, "blind"); ok {
		accounts.UncheckedRule, _ = strconv.Atoi(rule)
	}
	if rig.options.Break == "deaf" {
		accounts.Attempts = slices.DeleteFunc(accounts.Attempts, func(entry *backend.Entry) bool { return strings.HasSuffix(entry.ID, "77-0") })
	}
}

// Calls returns the list's record of the calls it received.
func (rig *Rig) Calls() []list.Call { return rig.list.AllCalls() }

// PlanStart is the plan's time 0 on the run's clock; Tries and Entries are the records of clients and backends.
func (rig *Rig) PlanStart() Micros     { return rig.startTime }
func (rig *Rig) Tries() []*clients.Try { return rig.clients.Account() }
func (rig *Rig) Entries() (entries []*backend.Entry) {
	for _, served := range rig.backends {
		entries = append(entries, served.Account()...)
	}
	return entries
}

const sampleInterval = 100 * clock.Milli

// sampleLoad samples the backends' load until ended is closed, and calls Options.Watch.
func (rig *Rig) sampleLoad(ended chan struct{}) (load []report.LoadLine) {
	lastReport := Micros(0)
	for {
		select {
		case <-ended:
			return load
		case <-time.After(sampleInterval.Duration()):
		}
		elapsed := rig.clock.Now() - rig.startTime
		if elapsed < 0 {
			continue
		}
		rig.mu.Lock()
		backends, marks := slices.Clone(rig.backends), slices.Clone(rig.marks)
		rig.mu.Unlock()
		line, live := report.LoadLine{At: elapsed}, Snapshot{At: elapsed, Length: rig.scenario.Length.M(), Marks: marks}
		for _, backend := range backends {
			held, slow, alive := backend.Now()
			live.Backends = append(live.Backends, BackendSnapshot{backend.Name, backend.Zone, held, alive, slow})
			if !alive {
				held = -1
			}
			line.Held = append(line.Held, held)
		}
		load = append(load, line)
		if rig.options.Watch != nil && elapsed >= lastReport+rig.options.Every {
			lastReport = elapsed
			counts := &rig.clients.Count
			live.Sent, live.Delivered, live.Bounced = counts[clients.CountSent].Load(), counts[clients.CountDelivered].Load(), counts[clients.CountBounced].Load()
			live.Errored, live.Lost, live.Open =
				counts[clients.CountErrored].Load(), counts[clients.CountLost].Load(), counts[clients.CountOpen].Load()
			rig.options.Watch(live)
		}
	}
}

// Close stops all that was started, sidecar processes first. A second call does nothing.
func (rig *Rig) Close() {
	rig.mu.Lock()
	closed := rig.closed
	rig.closed = true
	rig.mu.Unlock()
	if closed {
		return
	}
	var all sync.WaitGroup
	for _, sidecar := range rig.sidecars {
		all.Add(1)
		go func() {
			defer all.Done()
			sidecar.Signal(syscall.SIGCONT)
			sidecar.Kill()
		}()
	}
	all.Wait()
	if rig.clients != nil {
		rig.clients.Close()
	}
	if rig.datagrams != nil {
		rig.datagrams.Close()
	}
	if rig.mesh != nil {
		rig.mesh.Close()
	}
	rig.mu.Lock()
	for _, gate := range rig.gates {
		gate.Close()
	}
	backends := rig.backends
	rig.mu.Unlock()
	for _, backend := range backends {
		backend.Kill()
	}
	rig.list.Close()
	rig.alarms.Close()
	if rig.options.Folder == "" && rig.folder != "" {
		os.RemoveAll(rig.folder)
	}
}
