// Package rollouts carries decide/rollout out: its words ride on membership's messages, its contents go over membership's connections, and
// it keeps them on disk and has them taken over. It decides nothing.
package rollouts

import (
	"bytes"
	"errors"
	"fmt"
	"net/netip"
	"slices"
	"strconv"
	"strings"
	"sync"

	"github.com/rs/zerolog"

	"ledgespread/decide/membership"
	"ledgespread/decide/rollout"
	"ledgespread/internal/extensions"
	"ledgespread/internal/members"
)

// Group is membership, as far as it carries this. Turn holds its lock; Tell, Spread and Living are called with it held.
type Group interface {
	Turn(func(now membership.Micros))
	Tell(to membership.Name)
	Spread(many int)
	Living(each func(membership.Name))
	Ask(to membership.Name, at membership.Address, msg []byte, most int, done func([]byte, error))
}

// Terms are what a sidecar gives.
type Terms struct {
	Name    string
	Group   string // membership's: others are not answered
	Seed    uint64
	Every   membership.Micros // between two probes
	Overlay *Overlay
	Take    func(from string, whole []byte) error // have a configuration hold from now on
	Figures func() rollout.Figures
}

// Rollouts are this sidecar's.
type Rollouts struct {
	terms Terms
	table *extensions.Rollout
	store store
	log   zerolog.Logger
	group Group

	node  *rollout.Node // with the group's lock held, as all below
	start rollout.Kept
	held  *record // the newest
	in    *record // in force
	count map[string]int64

	serial sync.Mutex // one change of disk and of what holds at a time
	live   *record    // what holds now: on trial, or in force; nil: the file alone
}

// Open reads what an earlier process kept. What can't be read is told in the log and passed over.
func Open(t *extensions.Rollout, terms Terms, log zerolog.Logger) *Rollouts {
	r := &Rollouts{terms: terms, table: t, store: store{t.Folder, terms.Name}, log: log.With().Str("part", "rollout").Logger(), count: map[string]int64{}}
	r.load()
	return r
}

func (r *Rollouts) load() {
	read := func(kind string) *record {
		x, err := r.store.read(kind)
		if err != nil {
			r.log.Error().Err(err).Msg("what was kept of a configuration can't be read; passed over")
		}
		return x
	}
	r.in, r.held = read(force), read(newest)
	r.start = rollout.Kept{InForce: r.in.version(), Newest: r.held.version()}
	if h := r.held; h != nil {
		r.start.Path, _ = pathOf(h.Content)
		r.start.Tries, r.start.Before = h.Tries, rollout.Share{Ended: h.Before[0], Succeeded: h.Before[1]}
	}
	if r.start.InForce.Number >= r.start.Newest.Number {
		r.held, r.start.Newest, r.start.Tries = r.in, r.start.InForce, 0
		if r.in != nil {
			r.start.Path, _ = pathOf(r.in.Content)
		}
	}
}

// InForce is the sidecar's own file with the configuration in force laid over it, for a start; the file alone where none is in force, or
// where it no longer goes together with the file, which is told.
func (r *Rollouts) InForce(own []byte) []byte {
	if r.in == nil {
		return own
	}
	_, whole, err := r.terms.Overlay.Read(r.from(r.in.version()), r.in.Content)
	if err != nil {
		r.log.Error().Err(err).Uint64("number", r.in.Number).Msg("the configuration in force does not go with the sidecar's own file; that counts alone")
		r.in, r.start.InForce = nil, rollout.Version{}
		return own
	}
	r.live = r.in
	return whole
}

// Laid takes the sidecar's own file anew: what holds of the fleet's is laid over it, and apply has it hold. Where that ends without an error the
// file counts from then on.
func (r *Rollouts) Laid(own []byte, apply func(whole []byte) error) error {
	r.serial.Lock()
	defer r.serial.Unlock()
	before := r.terms.Overlay.own.Load()
	r.terms.Overlay.own.Store(&own)
	whole := own
	var err error
	if r.live != nil {
		whole, err = r.terms.Overlay.over(r.live.Content)
	}
	if err == nil {
		err = apply(whole)
	}
	if err != nil {
		r.terms.Overlay.own.Store(before)
	}
	return err
}

func (r *Rollouts) from(v rollout.Version) string { return fmt.Sprintf("configuration %d", v.Number) }

// Below is membership's: it calls with its lock held, but for Answer.

// Begin is called once the group has begun.
func (r *Rollouts) Begin(now membership.Micros, m *members.Members) { r.begin(now, m) }

func (r *Rollouts) begin(now membership.Micros, g Group) {
	r.group = g
	if kept, err := r.store.read(force); err == nil && kept.version() != r.start.InForce && kept != nil { // another process of this sidecar wrote since
		r.load()
		x := r.in
		go func() {
			r.serial.Lock()
			defer r.serial.Unlock()
			if err := r.take(x); err != nil {
				r.log.Error().Err(err).Uint64("number", x.Number).Msg("what another process of this sidecar had in force can't be taken over")
			}
		}()
	}
	r.node = rollout.New(now, rollout.Name(r.terms.Name), rollout.Terms{Every: r.terms.Every}, r.start, r.terms.Seed, r)
}

func (r *Rollouts) Word(room int) []byte { return r.node.Word(room) }

func (r *Rollouts) Heard(now membership.Micros, from membership.Name, at membership.Address, word []byte) {
	if !r.node.Heard(now, from, at, word) {
		r.count["malformed"]++
	}
}

func (r *Rollouts) Due() membership.Micros     { return r.node.Due() }
func (r *Rollouts) Tick(now membership.Micros) { r.node.Tick(now) }

// What is asked over a connection begins with ask, then what: a content, the status, or a configuration to publish.
const (
	Asks       = "ledgespread rollout 1 "
	asksFor    = "content"
	asksStatus = "status"
	publishes  = "publish"
	busy       = "busy"
	given      = "here"
)

// Question is what is asked for a content.
func question(group string, v rollout.Version) []byte {
	return []byte(Asks + asksFor + " " + strconv.Quote(group) + " " + strconv.FormatUint(uint64(v.Number), 10) + " " + Spell(v.Digest))
}

// Answer answers what came over a connection, without the lock; mine: it was asked of this.
func (r *Rollouts) Answer(msg []byte, from netip.Addr) (reply []byte, mine bool) {
	rest, mine := bytes.CutPrefix(msg, []byte(Asks))
	if !mine {
		return nil, false
	}
	line, content, _ := bytes.Cut(rest, []byte("\n"))
	what, more, _ := strings.Cut(string(line), " ")
	switch what {
	case asksFor:
		return r.give(more), true
	case asksStatus:
		return r.Status(), true
	case publishes:
		return r.publish(more, content, from), true
	}
	return nil, true
}

// give hands a content out, if it is here and this member may by now.
func (r *Rollouts) give(ask string) (reply []byte) {
	r.group.Turn(func(now membership.Micros) {
		reply = []byte(busy)
		if r.held == nil || string(question(r.terms.Group, r.held.version())) != Asks+asksFor+" "+ask || !r.node.Serve(now, r.held.version()) {
			r.count["busy"]++
			return
		}
		r.count["served"]++
		r.count["served_bytes"] += int64(len(r.held.Content))
		reply = append([]byte(given), r.held.Content...)
	})
	return reply
}

var errStaff = errors.New("nobody may publish here from there: see publish_from in [rollout]")

// publish takes a configuration that staff hand over. The reply says what became of it.
func (r *Rollouts) publish(number string, content []byte, from netip.Addr) []byte {
	v, err := r.published(number, slices.Clone(content), from)
	if err != nil {
		r.group.Turn(func(membership.Micros) { r.count["publish_refused"]++ })
		r.log.Warn().Err(err).Msg("what was to be published is refused")
		return []byte("refused " + err.Error())
	}
	return []byte(fmt.Sprintf("number %d, digest %s: held by %s", v.Number, Spell(v.Digest), r.terms.Name))
}

func (r *Rollouts) published(number string, content []byte, from netip.Addr) (v rollout.Version, err error) {
	if !slices.ContainsFunc(r.table.Networks, func(n netip.Prefix) bool { return n.Contains(from) }) {
		return v, errStaff
	}
	no, err := strconv.ParseUint(number, 10, 64)
	if err != nil {
		return v, fmt.Errorf("%q is no number of a configuration", number)
	}
	r.serial.Lock()
	defer r.serial.Unlock()
	v = rollout.Version{Number: rollout.Number(no), Digest: DigestOf(content)}
	if r.group.Turn(func(now membership.Micros) {
		if v.Number == 0 {
			v.Number = r.node.Next()
		}
		err = r.node.May(v)
	}); err != nil {
		return v, err
	}
	path, _, err := r.terms.Overlay.Read(r.from(v), content)
	if err != nil {
		return v, err
	}
	x := newRecord(v.Number, content)
	if err := r.store.write(newest, *x); err != nil {
		return v, err
	}
	r.group.Turn(func(now membership.Micros) {
		if err = r.node.May(v); err == nil {
			r.held = x
			err = r.node.Published(now, v, path)
		}
	})
	return v, err
}

// Below is the node's: called with the group's lock held.

// Fetch asks for a content; it is read and kept before it counts.
func (r *Rollouts) Fetch(from rollout.Name, at rollout.Address, v rollout.Version) {
	r.count["fetches"]++
	r.group.Ask(from, at, question(r.terms.Group, v), Most+len(given), func(reply []byte, err error) {
		content, here := bytes.CutPrefix(reply, []byte(given))
		if err != nil || !here || DigestOf(content) != v.Digest {
			unfit := err == nil && here
			r.group.Turn(func(now membership.Micros) {
				r.count["missed"]++
				r.node.Missed(now, v, from, unfit)
			})
			return
		}
		r.serial.Lock()
		defer r.serial.Unlock()
		path, _, err := r.terms.Overlay.Read(r.from(v), content)
		x := newRecord(v.Number, content)
		if err == nil {
			err = r.store.write(newest, *x)
		}
		r.group.Turn(func(now membership.Micros) {
			r.count["fetched_bytes"] += int64(len(content))
			if err != nil {
				r.node.Fetched(now, v, path, from, err.Error())
				return
			}
			if r.node.Status().Newest.Number < v.Number {
				r.held = x
			}
			r.node.Fetched(now, v, path, from, "")
		})
	})
}

// Try keeps that a configuration is tried.
func (r *Rollouts) Try(v rollout.Version, tries int, before rollout.Share) {
	x := r.held
	go func() {
		r.serial.Lock()
		defer r.serial.Unlock()
		tried := *x
		tried.Tries, tried.Before = tries, [2]uint64{before.Ended, before.Succeeded}
		why := ""
		if err := r.store.write(newest, tried); err != nil {
			why = err.Error()
		}
		r.group.Turn(func(now membership.Micros) { r.node.Tried(now, v, why) })
	}()
}

// Apply has a configuration hold; where it is no trial it is kept as the one in force before that is said.
func (r *Rollouts) Apply(v rollout.Version, trial bool) {
	x := r.held
	go func() {
		r.serial.Lock()
		defer r.serial.Unlock()
		why := ""
		if err := r.hold(x, v, trial); err != nil {
			why = err.Error()
		}
		r.group.Turn(func(now membership.Micros) {
			if why == "" && !trial {
				r.in = x
			}
			r.node.Applied(now, v, trial, why)
		})
	}()
}

func (r *Rollouts) hold(x *record, v rollout.Version, trial bool) error {
	if x.version() != v {
		return fmt.Errorf("configuration %d is not here any more", v.Number)
	}
	if err := r.take(x); err != nil || trial {
		return err
	}
	return r.store.write(force, *x)
}

// take has a configuration hold from now on.
func (r *Rollouts) take(x *record) error {
	if r.live.version() == x.version() {
		return nil
	}
	from := r.from(x.version())
	_, whole, err := r.terms.Overlay.Read(from, x.Content)
	if err == nil {
		err = r.terms.Take(from, whole)
	}
	if err == nil {
		r.live = x
	}
	return err
}

func (r *Rollouts) Tell(to rollout.Name)                { r.group.Tell(to) }
func (r *Rollouts) Spread(many int)                     { r.group.Spread(many) }
func (r *Rollouts) Living(each func(name rollout.Name)) { r.group.Living(each) }
func (r *Rollouts) Figures() rollout.Figures            { return r.terms.Figures() }

// Happened is told to staff: the log has a line for each, with the number.
func (r *Rollouts) Happened(e rollout.Event) {
	r.count[e.What]++
	line := r.log.Info()
	switch e.What {
	case "worse", "refused", "contested", "stopped", "unfit":
		line = r.log.Warn()
	}
	line = line.Uint64("number", uint64(e.Version.Number)).Str("digest", Spell(e.Version.Digest))
	if e.By != "" {
		line = line.Str("by", string(e.By))
	}
	if e.Why != "" {
		line = line.Str("why", e.Why)
	}
	if e.What == "contested" {
		line = line.Str("other_digest", Spell(e.Other))
	}
	line.Msg(words[e.What])
}

// words are what the log says of each event.
var words = map[string]string{
	"held":       "a configuration is here",
	"tries":      "drawn to try a configuration first",
	"on_trial":   "a configuration holds on trial",
	"in_force":   "a configuration is in force",
	"no_worse":   "the requests went no worse under it",
	"unsure":     "too few requests to tell whether they went worse under it",
	"idle":       "drawn to try a configuration first, but without requests",
	"worse":      "requests went worse under it",
	"refused":    "a configuration is refused here",
	"contested":  "two configurations have one number; neither is taken",
	"everywhere": "a configuration is to hold everywhere",
	"stopped":    "a configuration goes no further",
	"unfit":      "a content did not fit its digest",
}
