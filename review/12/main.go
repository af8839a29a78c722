// Command 12: a configuration is tried, turned down and stopped; then all sidecars are killed and started again. What
// was turned down must not be in force afterwards, and clients have to be served as before.
package main

import (
	"fmt"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync/atomic"
	"time"

	"ledgespread/review/rig4"
)

const (
	members = 6
	timeout = 750 * time.Millisecond

	// With it no connection to a server comes about.
	harmful = `{"rollout": {"first": 2, "watch": "1.5s"}, "settings": {"allowed": {"connect_timeout_us": 1, "conn_idle_us": 1}}}`
)

// app is the application beside a sidecar.
type app struct {
	sidecar          *rig4.Sidecar
	running          atomic.Bool
	delivered, other atomic.Int64
}

// run sends some 20 requests a second while the application runs.
func (a *app) run() {
	for i := 0; ; i++ {
		time.Sleep(40 * time.Millisecond)
		if !a.running.Load() {
			continue
		}
		client, err := rig4.Dial(a.sidecar.Listen)
		if err != nil {
			continue
		}
		id := fmt.Sprintf("%s-%d", a.sidecar.Name, i)
		answer, err := client.Do(rig4.Get("/lookup/x", id, timeout), 2*time.Second)
		if err == nil && answer.Status == http.StatusOK && answer.Body == "made for "+id {
			a.delivered.Add(1)
		} else {
			a.other.Add(1)
		}
		client.Conn.Close()
	}
}

// counts records what the clients got since the last call, and returns the sums.
func counts(c *rig4.Case, when string, apps []*app) (delivered, other int64) {
	for _, a := range apps {
		d, o := a.delivered.Swap(0), a.other.Swap(0)
		c.Log("%s: clients of %s: %d delivered, %d not", when, a.sidecar.Name, d, o)
		delivered, other = delivered+d, other+o
	}
	return delivered, other
}

// begin waits until all sidecars are ready, and lets the applications run a second later.
func begin(apps []*app) {
	for _, a := range apps {
		a.sidecar.WaitReady()
	}
	time.Sleep(time.Second)
	for _, a := range apps {
		a.running.Store(true)
	}
}

func main() {
	c := rig4.Open("review/12")
	handle := func(r *rig4.Request) []byte {
		time.Sleep(10 * time.Millisecond)
		return rig4.OK("made for " + r.ID)
	}
	var hosts []rig4.Host
	for i := range 4 {
		hosts = append(hosts, c.NewServer(fmt.Sprintf("s-%d", i), handle).Host("a"))
	}
	d := c.NewDiscovery(hosts)
	var addresses []string
	for range members {
		addresses = append(addresses, c.FreeAddress())
	}
	var apps []*app
	for i := range members {
		name := fmt.Sprintf("n%d", i)
		configuration := rig4.Deployment(name, c.FreeAddress(), d.Address, d.List())
		rig4.Section(configuration, "settings")["balancers"] = members
		rig4.Section(configuration, "settings")["me"] = i
		s := c.NewSidecar(configuration)
		folder := filepath.Join(c.Folder, name+"-kept")
		os.Mkdir(folder, 0o700)
		extensions := filepath.Join(c.Folder, name+".toml")
		text := fmt.Sprintf("[membership]\nlisten = %q\ngroup = \"review\"\nseeds = [%q, %q]\nfrom = [\"127.0.0.0/8\"]\nprobe_every = \"250ms\"\n"+
			"[rollout]\nfolder = %q\npublish_from = [\"127.0.0.0/8\"]\n", addresses[i], addresses[(i+1)%members], addresses[(i+2)%members], folder)
		if err := os.WriteFile(extensions, []byte(text), 0o600); err != nil {
			c.Cannot("%v", err)
		}
		s.Arguments = " --with " + extensions
		apps = append(apps, &app{sidecar: s})
	}
	for _, a := range apps {
		a.sidecar.Start()
		go a.run()
	}
	begin(apps)
	time.Sleep(12 * time.Second)
	if _, other := counts(c, "before", apps); other > 0 {
		c.Cannot("clients weren't served before")
	}

	file := filepath.Join(c.Folder, "harmful.json")
	if err := os.WriteFile(file, []byte(harmful), 0o600); err != nil {
		c.Cannot("%v", err)
	}
	reply, err := exec.Command("bin/ledgespread", "config", "publish", file, "--at", addresses[0]).CombinedOutput()
	if c.Log("published: %s", reply); err != nil {
		c.Cannot("%v", err)
	}
	inForce := func() (nowhere bool) {
		text, err := exec.Command("bin/ledgespread", "config", "status", "--at", addresses[0]).CombinedOutput()
		if c.Log("config status:\n%s", text); err != nil {
			c.Cannot("%v", err)
		}
		return strings.Contains(string(text), "in force at 0 of")
	}
	time.Sleep(8 * time.Second)
	counts(c, "tried", apps)
	if !inForce() {
		c.Cannot("the configuration was not turned down")
	}

	if c.Trouble {
		for _, a := range apps {
			a.running.Store(false)
		}
		for _, a := range apps {
			a.sidecar.Kill()
		}
		time.Sleep(2 * time.Second)
		counts(c, "killed", apps)
		for _, a := range apps {
			a.sidecar.Start()
		}
		begin(apps)
	}
	time.Sleep(8 * time.Second)
	delivered, other := counts(c, "afterwards", apps)
	if !inForce() {
		c.Break("the configuration that was turned down is in force; clients: %d delivered, %d not", delivered, other)
	}
	for _, a := range apps {
		for line := range strings.Lines(a.sidecar.LogTail(1 << 20)) {
			if strings.Contains(line, `"part":"rollout"`) {
				c.Log("log of %s: %s", a.sidecar.Name, strings.TrimSpace(line))
			}
		}
	}
	c.End()
}
