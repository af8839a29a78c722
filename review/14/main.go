// Command 14: during an upgrade staff take the sidecar out of service, by a call at the second address of each of its
// two processes, the new one of which does not serve yet. Both say yes. From then on the sidecar must not be ready.
package main

import (
	"fmt"
	"io"
	"net/http"
	"os"
	"path/filepath"
	"sync/atomic"
	"syscall"
	"time"

	"ledgespread/review/rig4"
)

const (
	sidecars   = 120                     // as bkk-finder-later has them: 102 to 131
	due        = 4 * time.Second         // after the call the answer must not be yes any more
	watch      = 8 * time.Second         // for so long after the call
	termBy     = 6 * time.Second         // SIGTERM reaches the old process at the latest
	killAfter  = 3700 * time.Millisecond // SIGKILL after SIGTERM
	maxUpgrade = 6
	timeout    = 750 * time.Millisecond
)

// call makes a call at a second address, and returns whether the answer was yes.
func call(c *rig4.Case, method, console, path string) (yes, answered bool) {
	request, err := http.NewRequest(method, "http://"+console+path, nil)
	if err != nil {
		c.Cannot("%v", err)
	}
	request.Close = true
	answer, err := http.DefaultClient.Do(request)
	if err != nil {
		return false, false
	}
	text, _ := io.ReadAll(answer.Body)
	answer.Body.Close()
	if method == http.MethodPost {
		c.Log("%s %s at %s: %d %q", method, path, console, answer.StatusCode, text)
	}
	return answer.StatusCode/100 == 2, true
}

func main() {
	c := rig4.Open("review/14")
	handle := func(r *rig4.Request) []byte {
		time.Sleep(8 * time.Millisecond)
		return rig4.OK("made for " + r.ID)
	}
	var hosts []rig4.Host
	for i := range 4 {
		hosts = append(hosts, c.NewServer(fmt.Sprintf("s-%d", i), handle).Host("a"))
	}
	d := c.NewDiscovery(hosts)
	configuration := rig4.Deployment("n0", c.FreeAddress(), d.Address, d.List())
	rig4.Section(configuration, "settings")["balancers"] = sidecars
	console := c.FreeAddress()
	configuration["console"] = console
	s := c.NewSidecar(configuration)
	s.SharedTemp = filepath.Join(c.Folder, "tmp")
	if err := os.Mkdir(s.SharedTemp, 0o700); err != nil {
		c.Cannot("%v", err)
	}
	s.Start()
	s.WaitReady()
	var delivered atomic.Int64
	go func() { // the application: a connection for each request
		for i := 0; ; i++ {
			time.Sleep(10 * time.Millisecond)
			client, err := rig4.Dial(s.Listen)
			if err != nil {
				continue
			}
			answer, err := client.Do(rig4.Get("/lookup/x", fmt.Sprintf("id-%d", i), timeout), 2*time.Second)
			if err == nil && answer.Status == http.StatusOK {
				delivered.Add(1)
			}
			client.Conn.Close()
		}
	}()

	for upgrade := 1; ; upgrade++ {
		if upgrade > maxUpgrade {
			c.Cannot("the new process was ready at once each time")
		}
		time.Sleep(time.Second)
		old, oldConsole := *s, console
		console = c.FreeAddress()
		configuration["console"] = console
		s.Write(configuration)
		started := time.Now()
		s.Start()
		ready, answers := false, false
		for !answers && time.Since(started) < termBy {
			time.Sleep(5 * time.Millisecond)
			ready, answers = call(c, http.MethodGet, console, "/control/ready")
		}
		c.Log("upgrade %d: the new process answers at its second address, ready: %v", upgrade, ready)
		early := !ready && answers
		var calledAt time.Time
		takeOut := func() {
			yesOld, _ := call(c, http.MethodPost, oldConsole, "/control/out-of-service")
			yesNew, _ := call(c, http.MethodPost, console, "/control/out-of-service")
			calledAt = time.Now()
			if !yesOld || !yesNew {
				c.Log("a call was answered with no, which is allowed")
				c.End()
			}
		}
		if c.Trouble && early {
			takeOut()
		}
		for !ready && time.Since(started) < termBy {
			time.Sleep(20 * time.Millisecond)
			ready, _ = call(c, http.MethodGet, console, "/control/ready")
		}
		c.Log("upgrade %d: the new process says ready: %v, %v after its start", upgrade, ready, time.Since(started))
		if !c.Trouble {
			takeOut()
		}
		old.Signal(syscall.SIGTERM)
		select {
		case <-old.Ended():
		case <-time.After(killAfter):
			old.Kill()
		}
		if calledAt.IsZero() { // without the disruption there was nothing to see
			continue
		}
		time.Sleep(time.Until(calledAt.Add(due)))
		for before := delivered.Load(); time.Since(calledAt) < watch; time.Sleep(100 * time.Millisecond) {
			answer, err := http.Get("http://" + s.Listen + "/-/ready")
			if err != nil {
				c.Log("GET /-/ready: %v", err)
				continue
			}
			answer.Body.Close()
			c.Log("GET /-/ready: %d, %d requests were delivered in the last time", answer.StatusCode, delivered.Load()-before)
			if before = delivered.Load(); answer.StatusCode == http.StatusOK {
				c.Break("the sidecar says that it is ready, %v after the call that took it out of service was answered with yes", time.Since(calledAt))
			}
		}
		c.End()
	}
}
