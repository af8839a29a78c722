// Package faulty implements a small sidecar that deliberately breaks exactly one rule, to verify that the lab's checker
// detects that violation and reports no other. The mode "honest" breaks none. Violations depend on a counter or the seed,
// so that every run has enough of them; one that exceeds a time limit does so by more than a busy machine's delays.
package faulty

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"maps"
	"net"
	"net/http"
	"os"
	"os/signal"
	"slices"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"time"

	"ledgespread/lab/failing"
	"ledgespread/lab/rng"
	"ledgespread/lab/sidecars"
)

// Number of requests of a kind per violation.
const (
	frequentInterval = 20
	rareInterval     = 50

	afterDelay = time.Second // twice the delay that the checker attributes to a stalled machine
)

// RuleByMode maps each mode of misbehaving to the number of the rule that it breaks.
var RuleByMode = map[string]int{"honest": 0, "loses": 1, "late": 1, "foreign": 1, "after": 1, "dies": 1, "twice": 2, "group": 2, "bounce": 2, "drain": 3, "cold": 4}

// timeoutSlow mistakes a connection that broke with ETIMEDOUT for a slow server and forwards the partial answer.
const timeoutSlow = "timeout-slow"

// SoakRuleByMode is like RuleByMode, for violations that appear only in long runs with discovery faults or disconnecting clients.
var SoakRuleByMode = map[string]int{"late-list": 3, "after-left": 1, "long-deadline": 5, "wall-warm": 4, timeoutSlow: 1, ignoresEmptyList: 3, keepsOmittedServers: 3,
	ignoresUnusableList: 3, lastResort: 3}

// Modes of mishandling unusual server lists.
const (
	ignoresEmptyList    = "drops-empty"    // ignores an empty list
	keepsOmittedServers = "keeps-left-out" // keeps using servers that a complete list omits
	ignoresUnusableList = "freezes-at-odd" // ignores a list that has an unusable entry
	lastResort          = "last-resort"    // uses any server ever listed when none may be used
)

// Names returns all modes, sorted.
func Names() []string {
	return slices.Sorted(slices.Values(slices.Concat(slices.Collect(maps.Keys(RuleByMode)), slices.Collect(maps.Keys(SoakRuleByMode)))))
}

// Rule returns the rule that a mode breaks; known is false for an unknown mode.
func Rule(mode string) (rule int, known bool) {
	if rule, known = RuleByMode[mode]; known {
		return rule, true
	}
	rule, known = SoakRuleByMode[mode]
	return rule, known
}

const (
	listInterval     = 50 * time.Millisecond // interval between requests for the list
	firstListTimeout = 10 * time.Second      // maximum wait for the first list

	lateListThreshold = 300 * time.Millisecond // late-list ignores lists that take longer to arrive
	afterLeftDelay    = 200 * time.Millisecond // delay of after-left's attempt after the client disconnects
	acceptAfterStop   = 400 * time.Millisecond // new connections are accepted for this long after SIGTERM

	deadlineExcess = 300 * time.Millisecond // excess of the deadline that long-deadline sends

	timeoutFraction = 0.05 // fraction of timeout-slow's reads and writes that fail with ETIMEDOUT
)

// server is an entry of the server list.
type server struct {
	name, address, zone string
	health              string
	startTime           time.Time
}

// sidecar is the misbehaving sidecar.
type sidecar struct {
	mode             string
	discoveryAddress string
	cold             time.Duration
	effects          map[string]string
	client           *http.Client // to servers
	discoveryClient  *http.Client // to discovery
	mu               sync.Mutex
	servers          []server
	everListed       map[string]server // all servers ever listed, by name
	counts           map[string]int
	draw             *rng.Source
}

// Serve runs a sidecar that misbehaves in the given mode, by the given configuration file, until SIGTERM.
func Serve(file, mode string) error {
	stop := make(chan os.Signal, 1)
	signal.Notify(stop, syscall.SIGTERM, os.Interrupt)
	reload := make(chan os.Signal, 1) // subscribed first: an unhandled SIGHUP would end the process
	signal.Notify(reload, syscall.SIGHUP)
	configuration, err := sidecars.ReadConfiguration(file)
	if err != nil {
		return err
	}
	settings, _ := configuration["settings"].(map[string]any)
	obligations, _ := settings["obligations"].(map[string]any)
	cold, _ := obligations["cold_us"].(float64)
	toServers := &http.Transport{MaxIdleConnsPerHost: 256, IdleConnTimeout: 5 * time.Second}
	proxy := &sidecar{mode: mode, cold: time.Duration(cold) * time.Microsecond, effects: map[string]string{}, everListed: map[string]server{}, counts: map[string]int{},
		client: &http.Client{Transport: toServers}, discoveryClient: &http.Client{}}
	proxy.discoveryAddress, _ = configuration["discovery"].(string)
	seed, _ := configuration["seed"].(string)
	bits, err := strconv.ParseUint(seed, 16, 64)
	if err != nil {
		return fmt.Errorf("seed: %w", err)
	}
	proxy.draw = rng.New(bits, mode)
	if mode == timeoutSlow {
		toServers.DialContext = failing.Dialer(bits, syscall.ETIMEDOUT, timeoutFraction)
	}
	prefixes, _ := settings["path_prefixes"].([]any)
	for _, entry := range prefixes {
		if prefix, ok := entry.(map[string]any); ok {
			name, _ := prefix["name"].(string)
			proxy.effects[name], _ = prefix["effect"].(string)
		}
	}
	go func() {
		for range reload {
			proxy.reloadDiscoveryAddress(file)
		}
	}()
	for begun := time.Now(); ; time.Sleep(listInterval) { // discovery may be unreachable at the start
		if err := proxy.fetchList(); err == nil {
			break
		} else if time.Since(begun) > firstListTimeout {
			return err
		}
	}
	go func() {
		for range time.Tick(listInterval) {
			proxy.fetchList()
		}
	}()
	listen, _ := configuration["listen"].(string)
	listener, err := net.Listen("tcp", listen)
	if err != nil {
		return err
	}
	httpServer := &http.Server{Handler: proxy}
	shutdownDone := make(chan struct{})
	go func() {
		defer close(shutdownDone)
		<-stop
		httpServer.SetKeepAlivesEnabled(false)
		time.Sleep(acceptAfterStop)
		ctx, done := context.WithTimeout(context.Background(), 2*time.Second)
		defer done()
		httpServer.Shutdown(ctx)
	}()
	if err := httpServer.Serve(listener); err != http.ErrServerClosed {
		return err
	}
	<-shutdownDone // Serve returns when Shutdown begins, while requests are still in progress
	return nil
}

// fetch sends one attempt and waits up to left for the answer. The time remaining until clientDeadline is sent to the
// server. ran is false only if the server certainly did not process the request.
func (s *sidecar) fetch(clientRequest *http.Request, body []byte, target *server, left time.Duration, clientDeadline time.Time) (status int, answer []byte, ran bool) {
	ctx, done := context.WithTimeout(context.Background(), left)
	defer done()
	request, err := http.NewRequestWithContext(ctx, clientRequest.Method, "http://"+target.address+clientRequest.URL.RequestURI(), nil)
	if err != nil {
		return 0, nil, false
	}
	if clientRequest.Method != http.MethodGet { // without GetBody the transport cannot retry on its own
		request.Body, request.ContentLength = io.NopCloser(bytes.NewReader(body)), int64(len(body))
	}
	for _, name := range []string{"X-Request-ID", "X-Timeout", "X-Tenant-Id", "Idempotency-Key"} {
		if value := clientRequest.Header.Get(name); value != "" {
			request.Header.Set(name, value)
		}
	}
	deadline := max(min(left, time.Until(clientDeadline)), time.Microsecond)
	if s.shouldBreak("long-deadline", frequentInterval) {
		deadline = time.Until(clientDeadline) + deadlineExcess
	}
	request.Header.Set("X-Timeout", fmt.Sprintf("%du", deadline.Microseconds()))
	response, err := s.client.Do(request)
	if err != nil {
		return 0, nil, !strings.Contains(err.Error(), "refused")
	}
	defer response.Body.Close()
	answer, err = io.ReadAll(response.Body)
	if s.mode == timeoutSlow && os.IsTimeout(err) && ctx.Err() == nil {
		return response.StatusCode, answer, true
	}
	if err != nil {
		return 0, nil, true
	}
	return response.StatusCode, answer, response.Header.Get("X-Not-Processed") != "1"
}

// afterLeft starts an attempt after the client has disconnected.
func (s *sidecar) afterLeft(gone, answered <-chan struct{}, clientRequest *http.Request, body []byte, left time.Duration, clientDeadline time.Time) {
	<-gone
	select {
	case <-answered: // the request was answered
		return
	case <-time.After(afterLeftDelay):
	}
	if target := s.pickServer(nil, false); target != nil {
		s.fetch(clientRequest, body, target, left, clientDeadline)
	}
}

// ServeHTTP handles one client request and misbehaves as s.mode says.
func (s *sidecar) ServeHTTP(response http.ResponseWriter, request *http.Request) {
	if request.URL.Path == "/-/ready" {
		return
	}
	body, _ := io.ReadAll(request.Body)
	prefix := strings.SplitN(strings.TrimPrefix(request.URL.Path, "/"), "/", 2)[0]
	effect := s.effects[prefix]
	timeoutMicros, err := strconv.Atoi(strings.TrimSuffix(request.Header.Get("X-Timeout"), "u"))
	if !slices.Contains([]string{"read_like", "tagged", "mutating"}, effect) || err != nil || request.Header.Get("X-Request-ID") == "" {
		response.WriteHeader(400)
		return
	}
	clientDeadline := time.Now().Add(time.Duration(timeoutMicros) * time.Microsecond)
	left := time.Duration(timeoutMicros) * time.Microsecond / 2 // half is kept for delays of a busy machine
	target := s.pickServer(nil, false)
	if target == nil {
		response.WriteHeader(503)
		return
	}
	switch {
	case s.shouldBreak("dies", 30):
		os.Exit(3)
	case s.shouldBreak("loses", rareInterval):
		time.Sleep(30 * time.Millisecond) // too late for a close that races with a request
		if conn, _, err := response.(http.Hijacker).Hijack(); err == nil {
			conn.Close()
		}
		return
	case s.shouldBreak("late", frequentInterval):
		time.Sleep(time.Duration(timeoutMicros)*time.Microsecond + 55*time.Millisecond)
		response.WriteHeader(502)
		return
	case s.shouldBreak("foreign", rareInterval):
		io.WriteString(response, "everything is well")
		return
	case effect == "read_like" && s.shouldBreak("after", rareInterval):
		go func() {
			time.Sleep(afterDelay)
			// Selects again, since the earlier server may be draining by now and would break another rule too.
			if target := s.pickServer(nil, false); target != nil {
				s.fetch(request, body, target, left, clientDeadline)
			}
		}()
		response.WriteHeader(502)
		return
	}
	until := time.Now().Add(left)
	if s.mode == "after-left" && effect == "read_like" {
		answered := make(chan struct{})
		defer close(answered)
		go s.afterLeft(request.Context().Done(), answered, request.Clone(context.Background()), body, left, clientDeadline)
	}
	status, answer, ran := s.fetch(request, body, target, left, clientDeadline)
	// Retries that a rule forbids follow each failure, and some successes so that every run has enough of them.
	forbidden := func(kind, mode string) bool {
		return effect == kind && ran && s.mode == mode && (status != 200 || s.shouldBreak(mode, frequentInterval))
	}
	if forbidden("mutating", "twice") || forbidden("tagged", "group") {
		if other := s.pickServer(target, s.mode == "group"); other != nil {
			status, answer, ran = s.fetch(request, body, other, min(left/2, time.Until(until)), clientDeadline)
		}
	}
	switch {
	case !ran || forbidden("mutating", "bounce"):
		response.WriteHeader(503)
	case status == 200:
		response.Write(answer)
	default:
		response.WriteHeader(502)
	}
}
