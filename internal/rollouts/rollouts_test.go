package rollouts

import (
	"errors"
	"fmt"
	"net/netip"
	"os"
	"path/filepath"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/rs/zerolog"

	"ledgespread/decide/membership"
	"ledgespread/decide/rollout"
	"ledgespread/internal/extensions"
	"ledgespread/internal/members"
	"ledgespread/internal/site"
	"ledgespread/lab/trace"
)

const own = `{
 "name": "n1", "listen": "127.0.0.1:1", "discovery": "127.0.0.1:2", "seed": "0001",
 "limits": {"cores": 1, "memory_mb": 100, "sockets": 100},
 "known": {"seq": 0, "whole": true, "hosts": []},
 "settings": {"azs": ["a"], "my_zone": 0, "balancers": 1, "me": 0, "discovery": "on_request", "step_us": 1000, "beyond_share_value": 0.1, "tariffs": {"cross_zone": 0.01},
  "path_prefixes": [{"name": "look", "effect": "read_like", "group": "all", "value": 1, "target_latency_us": 100000, "client_timeout_us": 400000, "late_value": 0, "memory_span_us": 0, "stream": false}],
  "allowed": {"cancel": true, "may_duplicate": true, "retry_after": true, "max_retry_after_us": 2000000, "peer_messages": false, "max_backend_fetches": 3, "multiplex": 1, "conn_idle_us": 10000000, "connect_timeout_us": 75000},
  "obligations": {"ask_every_us": 1000000, "cold_from": 1, "cold_us": 1000000, "fall_multiple": 1, "fall_us": 100000, "stop_sending_within_us": 400000, "answer_slack_us": 0}}}
`

func manifest(t *testing.T) *site.Manifest {
	t.Helper()
	b, err := site.From("own.json", []byte(own))
	if err != nil {
		t.Fatal(err)
	}
	return b
}

func overlay(t *testing.T) *Overlay {
	return NewOverlay(manifest(t), []byte(own))
}

// A configuration is read strictly: what can't be read, or would need a restart, is named with its line.
func TestContent(t *testing.T) {
	var tr trace.Trace
	o := overlay(t)
	for _, text := range []string{
		`{"settings": {"allowed": {"max_backend_fetches": 2}}}`,
		`{"rollout": {"first": 20, "watch": "2m"}, "settings": {"allowed": {"max_backend_fetches": 2}}}`,
		"{\n\"rollout\": {\n\"first\": 0}}",
		"{\n\"rollout\": {\"first\": 3, \"wach\": \"2s\"}}",
		"{\n\"rollout\": {\n\"watch\": \"5\"}}",
		"{\n\"rollout\": {\n\"watch\": 5}}",
		"{\n\"settings\": {\n\"allowed\": {\n\"max_backend_fetches\": 0}}}",
		"{\n\"settings\": {\n\"allowed\": {\n\"max_backend_fetchs\": 2}}}",
		"{\n\"settings\": {\"step_us\": 2000,\n\"step_us\": 3000}}",
		"{\n\"listen\": \"127.0.0.1:7\"}",
		"{\n\"seed\": \"0002\"}",
		"{\n\"settings\": {\n\"me\": 3}}",
		"{\n\"settings\": {\n\"path_prefixes\": [\n{\"name\": \"look\", \"effect\": \"never\"}]}}",
		"{\n\"settings\": {\n\"path_prefixes\": null}}",
		"{\n\"settings\"\n: 5}",
		"{\n\"settings\": {\n",
		"[]",
		"",
		"{" + strings.Repeat(" ", Most) + "}",
	} {
		path, whole, err := o.Read("fleet.json", []byte(text))
		if len(text) > 200 {
			text = text[:10] + "..."
		}
		if err != nil {
			tr.Add("%q: %v", text, err)
			continue
		}
		b, err := site.From("", whole)
		if err != nil {
			t.Fatal(err)
		}
		tr.Add("%q: first %d, watch %d µs; at most %v fetches", text, path.First, path.Watch, b.Figure("allowed.max_backend_fetches"))
	}
	tr.Same(t)
}

// The example is whole. One that was kept and does not go with the sidecar's own file is passed over, which stands alone then.
func TestKept(t *testing.T) {
	text, err := os.ReadFile("../../deploy/fleet.json")
	if err != nil {
		t.Fatal(err)
	}
	if _, _, err := overlay(t).Read("deploy/fleet.json", text); err != nil {
		t.Error(err)
	}
	folder := t.TempDir()
	for content, laid := range map[string]bool{string(text): true, `{"nothing": 1}`: false} {
		s := store{folder, "n1"}
		if err := s.write(force, *newRecord(3, []byte(content))); err != nil {
			t.Fatal(err)
		}
		r := Open(&extensions.Rollout{Folder: folder}, Terms{Name: "n1", Overlay: overlay(t)}, zerolog.Nop())
		if whole := string(r.InForce([]byte(own))); laid != (whole != own) || laid != (r.start.InForce.Number == 3) {
			t.Errorf("%s: starts by %s, in force %d", content, whole, r.start.InForce.Number)
		}
	}
}

// What is kept comes back; what is torn, changed, or another's does not, and is told.
func TestStore(t *testing.T) {
	var tr trace.Trace
	s := store{t.TempDir(), "n1"}
	tell := func(what string, of store) {
		r, err := of.read(newest)
		if err != nil {
			tr.Add("%s: %s", what, strings.ReplaceAll(err.Error(), s.folder, "FOLDER"))
			return
		}
		if r == nil {
			tr.Add("%s: none", what)
			return
		}
		tr.Add("%s: %d, tries %d, before %v, %q", what, r.Number, r.Tries, r.Before, r.Content)
	}
	tell("at first", s)
	x := *newRecord(7, []byte("{\n}\n"))
	x.Tries, x.Before = 1, [2]uint64{5, 4}
	if err := s.write(newest, x); err != nil {
		t.Fatal(err)
	}
	tell("written", s)
	tell("another's", store{s.folder, "n2"})
	text, _ := os.ReadFile(s.path(newest))
	for _, one := range []struct {
		what string
		text []byte
	}{{"its last byte lost", text[:len(text)-1]}, {"cut in the first line", text[:20]}, {"empty", nil}, {"changed", append(text[:len(text)-2:len(text)-2], "]\n"...)},
		{"no JSON", []byte("x\n{}")}} {
		os.WriteFile(s.path(newest), one.text, 0o600)
		tell(one.what, s)
	}
	os.WriteFile(s.path(newest), text, 0o600)
	os.WriteFile(store{s.folder, "n3"}.path(newest), text, 0o600)
	tell("under another's name", store{s.folder, "n3"})
	if err := (store{filepath.Join(s.folder, "none"), "n1"}).write(newest, x); err == nil {
		t.Error("written where there is no folder")
	}
	if left, _ := filepath.Glob(filepath.Join(s.folder, ".rollout-*")); len(left) > 0 {
		t.Errorf("left behind: %v", left)
	}
	tr.Same(t)
}

// one is a member on real sockets whose configurations are taken over by a slip of paper.
type one struct {
	*Rollouts
	group  *members.Members
	at     string
	mu     sync.Mutex
	took   []string
	refuse bool
	visits rollout.Figures
	begun  time.Time
	harm   string // requests are not succeeded under what has this in it
}

const every = 50_000

func (o *one) figures() rollout.Figures { // 400 requests a second
	o.mu.Lock()
	defer o.mu.Unlock()
	many := uint64(time.Since(o.begun) / (2500 * time.Microsecond))
	fresh := many - o.visits.Taken
	o.visits.Taken, o.visits.Ended = many, many
	if o.harm == "" || len(o.took) == 0 || !strings.Contains(o.took[len(o.took)-1], o.harm) {
		o.visits.Succeeded += fresh
	}
	return o.visits
}

func start(t *testing.T, folder string, i int, seeds ...string) *one {
	t.Helper()
	at := fmt.Sprintf("127.%d.%d.%d:7946", 100+os.Getpid()%100, os.Getpid()/100%250, i+1)
	table := fmt.Sprintf("[membership]\nlisten = %q\ngroup = \"g\"\nfrom = [\"127.0.0.0/8\"]\nprobe_every = \"50ms\"\nseeds = [%s]\n[rollout]\nfolder = %q\n",
		at, strings.Join(seeds, ","), folder)
	if i < 2 {
		table += "publish_from = [\"127.0.0.0/8\"]\n"
	}
	f, err := extensions.Parse("with.toml", []byte(table))
	if err != nil {
		t.Fatal(err)
	}
	o := &one{at: at, begun: time.Now()}
	log := zerolog.Nop()
	o.Rollouts = Open(f.Rollout, Terms{Name: fmt.Sprint("n", i), Group: "g", Seed: uint64(i), Every: every, Overlay: overlay(t), Figures: o.figures,
		Take: func(from string, whole []byte) error {
			o.figures()
			o.mu.Lock()
			defer o.mu.Unlock()
			if o.refuse {
				return errors.New(from + ":1: not here")
			}
			o.took = append(o.took, string(whole))
			return nil
		}}, log)
	o.InForce([]byte(own))
	o.group, err = members.Open(f.Membership, members.Self{Name: fmt.Sprint("n", i), Senders: 1, Seed: uint64(i), Rider: o.Rollouts}, false, nil, log)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(o.group.Leave)
	return o
}

func (o *one) publish(t *testing.T, no int, text string) string {
	t.Helper()
	reply, err := members.Ask(o.at, []byte(fmt.Sprintf("%spublish %d\n%s", Asks, no, text)), 5*time.Second)
	if err != nil {
		t.Fatal(err)
	}
	return string(reply)
}

func (o *one) status() (s rollout.Status) {
	o.group.Turn(func(membership.Micros) { s = o.node.Status() })
	return s
}

func await(t *testing.T, what string, of []*one, holds func(s rollout.Status) bool) {
	t.Helper()
	for begun := time.Now(); ; time.Sleep(5 * time.Millisecond) {
		open := ""
		for i, o := range of {
			if s := o.status(); !holds(s) {
				open = fmt.Sprintf("n%d: %+v", i, s)
			}
		}
		if open == "" {
			return
		}
		if time.Since(begun) > 30*time.Second {
			t.Fatalf("%s: %s", what, open)
		}
	}
}

func inForce(no rollout.Number) func(rollout.Status) bool {
	return func(s rollout.Status) bool { return s.InForce.Number == no }
}

// Members on real sockets: what is published at one is in force at all, kept over a restart; what harms stops at the few; what can't
// be read is refused at once; two of one number are told; and nobody publishes where nobody may.
func TestMembers(t *testing.T) {
	folder := t.TempDir()
	var all []*one
	for i := range 6 {
		seeds := []string{}
		if i > 0 {
			seeds = append(seeds, fmt.Sprintf("%q", all[0].at))
		}
		all = append(all, start(t, folder, i, seeds...))
	}
	for _, o := range all {
		for begun := time.Now(); ; time.Sleep(5 * time.Millisecond) {
			living := 0
			o.group.Turn(func(membership.Micros) { o.group.Living(func(membership.Name) { living++ }) })
			if living == 5 {
				break
			}
			if time.Since(begun) > 30*time.Second {
				t.Fatal("they don't meet")
			}
		}
	}
	time.Sleep(500 * time.Millisecond) // requests to compare with
	const head = `{"rollout": {"watch": "300ms"}, "settings": {"allowed": {"max_backend_fetches": `
	if reply := all[5].publish(t, 1, head+`2}}}`); !strings.HasPrefix(reply, "refused nobody may publish here") {
		t.Error(reply)
	}
	if reply := all[0].publish(t, 1, head+`0}}}`); !strings.HasPrefix(reply, "refused configuration 1:1: settings: allowed.max_backend_fetches") {
		t.Error(reply)
	}
	if reply := all[0].publish(t, 1, head+`2}}}`); !strings.HasPrefix(reply, "number 1, ") {
		t.Fatal(reply)
	}
	await(t, "the first", all, inForce(1))
	for i, o := range all {
		o.mu.Lock()
		if len(o.took) != 1 || !strings.Contains(o.took[0], `"max_backend_fetches":2`) {
			t.Errorf("n%d took %v", i, o.took)
		}
		o.mu.Unlock()
	}
	if reply := all[1].publish(t, 1, head+`4}}}`); reply != "refused number 1 is not above 1, which is known here: a number never falls" {
		t.Error(reply)
	}
	for _, o := range all {
		o.mu.Lock()
		o.harm = `"max_backend_fetches":1`
		o.mu.Unlock()
	}
	if reply := all[0].publish(t, 0, head+`1}}}`); !strings.HasPrefix(reply, "number 2, ") {
		t.Fatal(reply)
	}
	await(t, "one that harms", all, func(s rollout.Status) bool {
		return s.Newest.Number == 2 && s.Stage == rollout.Stopped && s.InForce.Number == 1
	})
	tried := 0
	for _, o := range all {
		if o.status().OnTrial {
			tried++
		}
	}
	if tried < 1 || tried > 2 {
		t.Errorf("%d tried what harms", tried)
	}
	if reply := all[1].publish(t, 3, head+`2}}}`); !strings.HasPrefix(reply, "number 3, ") {
		t.Fatal(reply)
	}
	await(t, "back by a higher number", all, inForce(3))

	all[4].group.Leave() // a restart
	all[4] = start(t, folder, 4, fmt.Sprintf("%q", all[1].at))
	if s := all[4].status(); s.InForce.Number != 3 {
		t.Errorf("after a restart: %+v", s)
	}
	all[3].mu.Lock()
	all[3].refuse = true
	all[3].mu.Unlock()
	time.Sleep(500 * time.Millisecond) // requests of the one that restarted
	all[0].publish(t, 4, head+`3}}}`)
	await(t, "one that is refused", all, func(s rollout.Status) bool {
		return s.Newest.Number == 4 && (s.Stage == rollout.Stopped || s.InForce.Number == 4)
	})
	why := all[3].status().Why
	if why != "configuration 4:1: not here" {
		t.Errorf("refused: %q", why)
	}
	all[3].mu.Lock()
	all[3].refuse = false
	all[3].mu.Unlock()
	// At once: neither hears of the other's before it has its own.
	hand := func(o *one, now membership.Micros, text string) {
		o.held = newRecord(5, []byte(text))
		if err := o.node.Published(now, o.held.version(), rollout.Path{First: 5, Watch: 300_000}); err != nil {
			t.Error(err)
		}
	}
	all[0].group.Turn(func(now membership.Micros) {
		all[1].group.Turn(func(other membership.Micros) {
			hand(all[0], now, head+`3}}}`)
			hand(all[1], other, head+`4}}}`)
		})
	})
	for i, o := range all {
		await(t, fmt.Sprint("two of one number, n", i), []*one{o}, func(s rollout.Status) bool { return s.Newest.Number == 5 && s.Contested })
	}
	all[1].publish(t, 6, head+`2}}}`)
	await(t, "a higher number", all, inForce(6))
	if reply, mine := all[0].Answer([]byte("ledgespread members 1"), netip.Addr{}); mine || reply != nil {
		t.Error("answers what is asked of membership")
	}
	if reply, _ := all[0].Answer(question("other", all[0].held.version()), netip.Addr{}); string(reply) != busy {
		t.Errorf("gives %q to another group", reply)
	}
}
