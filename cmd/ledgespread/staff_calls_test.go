package main

import (
	"io"
	"net/http"
	"slices"
	"strings"
	"syscall"
	"testing"
)

const (
	outCall = "out-of-service"
	inCall  = "in-service"
)

// serviceCalls are sequences of calls, and whether the process is in service after them: the last one holds.
var serviceCalls = []struct {
	calls []string
	ready bool
}{
	{[]string{outCall}, false},
	{[]string{inCall}, true},
	{[]string{outCall, outCall}, false},
	{[]string{outCall, inCall}, true},
	{[]string{inCall, outCall}, false},
	{[]string{outCall, inCall, outCall}, false},
}

// expectYes makes the calls at a console and checks that each is answered with yes.
func expectYes(t *testing.T, console string, calls []string) {
	t.Helper()
	for _, call := range calls {
		if !callConsole("POST", console, call) {
			t.Errorf("%s of %v: no", call, calls)
		}
	}
}

// checkOtherCalls makes the calls that do the same in each state of a process.
func checkOtherCalls(t *testing.T, console string) {
	t.Helper()
	got := []bool{callConsole("GET", console, "counters"), callConsole("POST", console, "servers/s0/offline"), callConsole("POST", console, "servers/s0/offline"),
		callConsole("POST", console, "servers/s0/online"), callConsole("POST", console, "servers/nobody/offline")}
	if !slices.Equal(got, []bool{true, true, true, true, false}) {
		t.Errorf("counters, s0 offline twice and online, nobody offline: %v", got)
	}
}

// readyStatus returns the status of /-/ready at the clients' address; 0: no answer.
func readyStatus(listen string) int {
	request, _ := http.NewRequest("GET", "http://"+listen+"/-/ready", nil)
	request.Close = true
	answer, err := http.DefaultClient.Do(request)
	if err != nil {
		return 0
	}
	answer.Body.Close()
	return answer.StatusCode
}

// expectReady checks what a process says of its being in service, at both of its addresses.
func expectReady(t *testing.T, console, listen string, ready bool) {
	t.Helper()
	want := http.StatusServiceUnavailable
	if ready {
		want = http.StatusOK
	}
	if got := readyStatus(listen); got != want || callConsole("GET", console, "ready") != ready {
		t.Errorf("ready: %d at the clients' address, want %d; %v at the console", got, want, !ready)
	}
}

// Guards against a sidecar that was taken out of service and becomes ready: a new process answered the call with yes while it waited
// for its first list, and did nothing. What was called for last holds from its first client on, also over SIGHUP.
func TestServiceCallsBeforeServing(t *testing.T) {
	for i, test := range serviceCalls {
		t.Run(strings.Join(test.calls, ", "), func(t *testing.T) {
			processes := newUpgrade(t, []string{serverEntry("s0", "127.0.0.1:1", "in_service")})
			stopOld, _, _ := processes.start(t, "old")
			processes.silent.Store(true)
			next := processes.launch(t, "new")
			eventually(t, "the new process answers calls", func() bool { return callConsole("GET", next.console, "counters") })
			if callConsole("GET", next.console, "ready") {
				t.Fatal("it does not wait for its first list")
			}
			expectYes(t, next.console, test.calls)
			checkOtherCalls(t, next.console)
			if i%2 == 0 {
				next.program.Process.Signal(syscall.SIGHUP)
			}
			eventually(t, "the new process serves", func() bool { return strings.Contains(next.log.text(), `"message":"serving"`) })
			if err := stopOld(); err != nil {
				t.Error(err)
			}
			expectReady(t, next.console, processes.listen, test.ready)
			expectYes(t, next.console, []string{outCall, inCall})
			expectReady(t, next.console, processes.listen, true)
			if err := next.stop(); err != nil {
				t.Error(err)
			}
		})
	}
}

// The calls to a process that serves, and to both processes of an upgrade: each call is for its own process, and the last one holds.
func TestServiceCallsWhileServing(t *testing.T) {
	processes := newUpgrade(t, []string{serverEntry("s0", "127.0.0.1:1", "in_service")})
	stopOld, oldConsole, _ := processes.start(t, "old")
	for _, test := range serviceCalls {
		expectYes(t, oldConsole, test.calls)
		checkOtherCalls(t, oldConsole)
		expectReady(t, oldConsole, processes.listen, test.ready)
		expectYes(t, oldConsole, []string{inCall})
	}
	stopNew, newConsole, _ := processes.start(t, "new")
	for _, consoles := range [][2]string{{oldConsole, newConsole}, {newConsole, oldConsole}} {
		for _, test := range serviceCalls {
			expectYes(t, consoles[0], test.calls)
			checkOtherCalls(t, consoles[0])
			if callConsole("GET", consoles[0], "ready") != test.ready || !callConsole("GET", consoles[1], "ready") {
				t.Errorf("%v: ready is %v at the process that was called, want %v; or the other one isn't", test.calls, !test.ready, test.ready)
			}
			expectYes(t, consoles[0], []string{inCall})
		}
	}
	for _, stop := range []func() error{stopOld, stopNew} {
		if err := stop(); err != nil {
			t.Error(err)
		}
	}
}

// Guards against a yes to in-service at a process that is stopping: a stop is final. out-of-service holds there already.
func TestServiceCallsDuringStop(t *testing.T) {
	arrived, release := make(chan bool, 1), make(chan bool)
	server := serveHTTP(t, http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		arrived <- true
		<-release
		io.WriteString(w, "done")
	}))
	processes := newUpgrade(t, []string{serverEntry("s0", server, "in_service")})
	process := processes.launch(t, "old")
	eventually(t, "it is ready", func() bool { return callConsole("GET", process.console, "ready") })
	answer := make(chan string, 1)
	go func() { answer <- sendRequest(processes.listen, "look", "1") }()
	<-arrived
	process.program.Process.Signal(syscall.SIGTERM)
	eventually(t, "it stops", func() bool { return strings.Contains(process.log.text(), "stopping") })
	eventually(t, "it isn't ready", func() bool { return !callConsole("GET", process.console, "ready") })
	var got []bool
	for _, call := range []string{outCall, inCall, inCall, outCall} {
		got = append(got, callConsole("POST", process.console, call), callConsole("GET", process.console, "ready"))
	}
	if !slices.Equal(got, []bool{true, false, false, false, false, false, true, false}) {
		t.Errorf("out, in, in, out, and ready after each: %v", got)
	}
	checkOtherCalls(t, process.console)
	close(release)
	if got := <-answer; got != "200 done" {
		t.Errorf("the request that was out: %s", got)
	}
	if err := process.program.Wait(); err != nil {
		t.Error(err)
	}
}
