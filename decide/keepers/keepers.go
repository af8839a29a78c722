// Package keepers has a few sidecars agree on one sequence of plans, by the replicated log of go.etcd.io/raft/v3. It does no I/O: messages and
// ticks come in, what to send, to keep and to follow goes out.
package keepers

import (
	"encoding/binary"
	"errors"
	"fmt"
	"hash/crc32"
	"slices"

	"go.etcd.io/raft/v3"
	pb "go.etcd.io/raft/v3/raftpb"
	"google.golang.org/protobuf/proto"
)

type (
	ID     uint64 // of a keeper, from 1
	Number uint64 // of a decision: the same everywhere, and growing
)

// Ports is all that a Keeper can do to the world. Calls must not call back into it.
type Ports interface {
	Keep(state []byte) error // replaces what was kept; finished, on disk, when it returns. Only then the word goes out
	Send(to ID, message []byte)
	Decided(number Number, plan []byte) // in order; after a loss of time some may be passed over for a later one
	Leads(bool)                         // whether this keeper makes the plans now
}

const (
	electionTicks, heartbeatTicks = 10, 1
	mostMessage, mostLog          = 4 << 10, 64 << 10 // bytes of entries in a message; not agreed on yet
	mostPlan                      = 16 << 10          // bytes of a plan
	mostAhead                     = 8                 // messages to one keeper that are not answered
	keptBack                      = 16                // decisions that stay in the log, for those that missed them
	askTicks                      = electionTicks     // between two questions of one that lost its memory

	fromLog, whoIsThere, hereIAm = 1, 2, 3 // kinds of message
)

// Keeper is one of those who agree.
type Keeper struct {
	me     ID
	among  []ID
	out    Ports
	node   *raft.RawNode // nil: it lost its memory
	log    *raft.MemoryStorage
	seen   Number
	leads  bool
	broken error

	ticks, round uint32
	heard        map[ID]uint64 // whoever answered this round, with its term
	told         *memory       // by the leader of the highest term
	toldTerm     uint64
}

// memory is what a keeper must not forget.
type memory struct {
	hard    *pb.HardState
	snap    *pb.Snapshot
	entries []*pb.Entry
}

var errForgot = errors.New("what was kept can't be read")

// New starts a keeper from what it kept. Where that is missing or can't be read it has lost its memory, unless all begin for the first time
// (founding): it gives no word until it knows again what it may have promised. This prevents a keeper that votes twice, or for one that lacks
// what it helped to decide.
func New(me ID, among []ID, kept []byte, founding bool, out Ports) (*Keeper, error) {
	k := &Keeper{me: me, among: slices.Sorted(slices.Values(among)), out: out, heard: map[ID]uint64{}}
	if len(among)%2 == 0 || !slices.Contains(among, me) {
		return nil, fmt.Errorf("%d keepers, of which this is to be number %d: an odd number is needed, with it among them", len(among), me)
	}
	m, err := remembered(kept)
	if err != nil && !founding {
		return k, nil
	}
	if err != nil {
		m = &memory{hard: &pb.HardState{}, snap: k.founded()}
	}
	return k, k.begin(m)
}

// founded is the first snapshot: who keeps.
func (k *Keeper) founded() *pb.Snapshot {
	return &pb.Snapshot{Metadata: &pb.SnapshotMetadata{ConfState: k.voters(), Index: proto.Uint64(1), Term: proto.Uint64(1)}}
}

func (k *Keeper) voters() *pb.ConfState {
	c := &pb.ConfState{}
	for _, id := range k.among {
		c.Voters = append(c.Voters, uint64(id))
	}
	return c
}

func (k *Keeper) begin(m *memory) error {
	k.log = raft.NewMemoryStorage()
	snap := proto.Clone(m.snap).(*pb.Snapshot)
	snap.Metadata.ConfState = k.voters() // the table says who keeps, also if it was changed since
	if err := k.log.ApplySnapshot(snap); err != nil {
		return err
	}
	if m.hard.GetCommit() < snap.Metadata.GetIndex() {
		m.hard.Commit, m.hard.Term = snap.Metadata.Index, proto.Uint64(max(m.hard.GetTerm(), snap.Metadata.GetTerm()))
	}
	if err := errors.Join(k.log.SetHardState(m.hard), k.log.Append(m.entries)); err != nil {
		return err
	}
	if err := k.keep(); err != nil {
		return err
	}
	node, err := raft.NewRawNode(&raft.Config{ID: uint64(k.me), ElectionTick: electionTicks, HeartbeatTick: heartbeatTicks, Storage: k.log,
		Applied: snap.Metadata.GetIndex(), MaxSizePerMsg: mostMessage, MaxInflightMsgs: mostAhead, MaxUncommittedEntriesSize: mostLog,
		CheckQuorum: true, PreVote: true, DisableProposalForwarding: true, Logger: quiet{}})
	if err != nil {
		return err
	}
	k.node = node
	k.decided(snap.Metadata.GetIndex(), snap.Data)
	return k.ready()
}

// Remembers tells whether it takes part.
func (k *Keeper) Remembers() bool { return k.node != nil }

// Tick is called every so often.
func (k *Keeper) Tick() error {
	return k.guarded(func() error {
		if k.node != nil {
			k.node.Tick()
			return k.ready()
		}
		if k.ticks++; k.ticks%askTicks == 1 {
			k.round++
			k.told, k.toldTerm = nil, 0
			clear(k.heard)
			for _, id := range k.among {
				if id != k.me {
					k.out.Send(id, binary.BigEndian.AppendUint32([]byte{whoIsThere}, k.round))
				}
			}
		}
		return nil
	})
}

// Propose has a plan decided, if this keeper leads; whether it was, Decided tells.
func (k *Keeper) Propose(plan []byte) error {
	if len(plan) == 0 || len(plan) > mostPlan {
		return fmt.Errorf("a plan of %d bytes", len(plan))
	}
	if !k.leads {
		return errors.New("another keeper leads, or none")
	}
	return k.guarded(func() error {
		if err := k.node.Propose(plan); err != nil {
			return err
		}
		return k.ready()
	})
}

// Heard takes another keeper's message. One that can't be read, or is not for this one, changes nothing.
func (k *Keeper) Heard(from ID, message []byte) error {
	if len(message) < 1 || from == k.me || !slices.Contains(k.among, from) {
		return errors.New("no message of a keeper")
	}
	kind, body := message[0], message[1:]
	return k.guarded(func() error {
		switch {
		case kind == fromLog && k.node != nil:
			var m pb.Message
			if err := proto.Unmarshal(body, &m); err != nil {
				return err
			}
			if m.GetFrom() != uint64(from) || m.GetTo() != uint64(k.me) || raft.IsLocalMsg(m.GetType()) {
				return errors.New("a message of somebody else")
			}
			if err := k.node.Step(&m); err != nil && !errors.Is(err, raft.ErrStepPeerNotFound) && !errors.Is(err, raft.ErrProposalDropped) {
				return err
			}
			return k.ready()
		case kind == whoIsThere && k.node != nil && len(body) == 4:
			answer := binary.BigEndian.AppendUint64(append([]byte{hereIAm}, body...), k.node.BasicStatus().HardState.GetTerm())
			if k.leads {
				answer = append(answer, k.state()...)
			}
			k.out.Send(from, answer)
		case kind == hereIAm && k.node == nil && len(body) >= 12 && binary.BigEndian.Uint32(body) == k.round:
			return k.remind(from, binary.BigEndian.Uint64(body[4:]), body[12:])
		}
		return nil
	})
}

// remind learns anew what this keeper may have promised: all of it is known to one of any majority of the others, and the leader of the highest
// term that such a majority knows has all that was decided. With its log, and its vote given to that leader, it breaks no promise.
func (k *Keeper) remind(from ID, term uint64, state []byte) error {
	k.heard[from] = term
	if m, err := remembered(state); err == nil && term >= k.toldTerm {
		m.hard.Term, m.hard.Vote = proto.Uint64(term), proto.Uint64(uint64(from))
		k.told, k.toldTerm = m, term
	}
	if len(k.heard) <= len(k.among)/2 || k.told == nil {
		return nil
	}
	for _, t := range k.heard {
		if t > k.toldTerm {
			return nil
		}
	}
	return k.begin(k.told)
}

// ready carries out what the log asks for: what must not be forgotten is kept before any word goes out.
func (k *Keeper) ready() error {
	for k.node.HasReady() {
		rd := k.node.Ready()
		if rd.Snapshot.GetMetadata().GetIndex() > 0 {
			if err := k.log.ApplySnapshot(rd.Snapshot); err != nil && !errors.Is(err, raft.ErrSnapOutOfDate) {
				return err
			}
		}
		if rd.HardState != nil {
			if err := k.log.SetHardState(rd.HardState); err != nil {
				return err
			}
		}
		if err := k.log.Append(rd.Entries); err != nil {
			return err
		}
		if rd.HardState != nil || len(rd.Entries) > 0 || rd.Snapshot.GetMetadata().GetIndex() > 0 {
			if err := k.keep(); err != nil {
				return err
			}
		}
		for _, m := range rd.Messages {
			bytes, err := proto.Marshal(m)
			if err != nil {
				return err
			}
			k.out.Send(ID(m.GetTo()), append([]byte{fromLog}, bytes...))
			if m.GetType() == pb.MsgSnap {
				k.node.ReportSnapshot(m.GetTo(), raft.SnapshotFinish)
			}
		}
		if at := rd.Snapshot.GetMetadata().GetIndex(); at > 0 {
			k.decided(at, rd.Snapshot.GetData())
		}
		for _, e := range rd.CommittedEntries {
			k.decided(e.GetIndex(), e.GetData())
			if err := k.shorten(e); err != nil {
				return err
			}
		}
		if leads := k.node.BasicStatus().RaftState == raft.StateLeader; leads != k.leads {
			k.leads = leads
			k.out.Leads(leads)
		}
		k.node.Advance(rd)
	}
	return nil
}

func (k *Keeper) decided(at uint64, plan []byte) {
	if Number(at) > k.seen && len(plan) > 0 {
		k.seen = Number(at)
		k.out.Decided(k.seen, plan)
	}
}

// shorten has the log begin with a plan, once there are many behind it: only the last counts.
func (k *Keeper) shorten(e *pb.Entry) error {
	first, err := k.log.FirstIndex()
	if err != nil || len(e.GetData()) == 0 || e.GetIndex()-first < 2*keptBack {
		return err
	}
	if _, err := k.log.CreateSnapshot(e.GetIndex(), k.voters(), e.GetData()); err != nil {
		return err
	}
	return k.log.Compact(e.GetIndex() - keptBack)
}

func (k *Keeper) keep() error { return k.out.Keep(k.state()) }

// state is what is kept: a sum, then hard state, snapshot and the entries, each behind its length.
func (k *Keeper) state() []byte {
	hard, _, _ := k.log.InitialState()
	snap, _ := k.log.Snapshot()
	first, _ := k.log.FirstIndex()
	last, _ := k.log.LastIndex()
	parts := []proto.Message{hard, snap}
	if first <= last {
		entries, _ := k.log.Entries(first, last+1, 1<<62)
		for _, e := range entries {
			parts = append(parts, e)
		}
	}
	body := []byte{}
	for _, p := range parts {
		bytes, _ := proto.Marshal(p)
		body = append(binary.AppendUvarint(body, uint64(len(bytes))), bytes...)
	}
	return append(binary.BigEndian.AppendUint32(nil, crc32.ChecksumIEEE(body)), body...)
}

// remembered reads that. This prevents a file that was torn in the middle of a write, or is another's.
func remembered(state []byte) (*memory, error) {
	if len(state) < 4 || crc32.ChecksumIEEE(state[4:]) != binary.BigEndian.Uint32(state) {
		return nil, errForgot
	}
	m := &memory{hard: &pb.HardState{}, snap: &pb.Snapshot{}}
	next := []proto.Message{m.hard, m.snap}
	for body := state[4:]; len(body) > 0; {
		n, used := binary.Uvarint(body)
		if used <= 0 || n > uint64(len(body)-used) {
			return nil, errForgot
		}
		var into proto.Message = &pb.Entry{}
		if len(next) > 0 {
			into, next = next[0], next[1:]
		} else {
			m.entries = append(m.entries, into.(*pb.Entry))
		}
		if proto.Unmarshal(body[used:used+int(n)], into) != nil {
			return nil, errForgot
		}
		body = body[used+int(n):]
	}
	if len(next) > 0 || m.snap.GetMetadata().GetIndex() == 0 {
		return nil, errForgot
	}
	return m, nil
}

// guarded ends a keeper whose disk failed, or whose log is not what it should be: it must say nothing more. Guards the sidecar round it.
func (k *Keeper) guarded(do func() error) (err error) {
	if k.broken != nil {
		return k.broken
	}
	defer func() {
		if crash := recover(); crash != nil {
			k.broken = fmt.Errorf("the keeper stops: %v", crash)
			err = k.broken
			k.quit()
		}
	}()
	if err = do(); errors.Is(err, ErrDisk) {
		k.broken = err
		k.quit()
	}
	return err
}

func (k *Keeper) quit() {
	if k.leads {
		k.leads = false
		k.out.Leads(false)
	}
}

// ErrDisk is what Keep answers, or wraps, when nothing could be kept.
var ErrDisk = errors.New("what was decided can't be kept")

// quiet is the log's own log.
type quiet struct{}

func (quiet) Debug(...any)            {}
func (quiet) Debugf(string, ...any)   {}
func (quiet) Info(...any)             {}
func (quiet) Infof(string, ...any)    {}
func (quiet) Warning(...any)          {}
func (quiet) Warningf(string, ...any) {}
func (quiet) Error(...any)            {}
func (quiet) Errorf(string, ...any)   {}
func (quiet) Fatal(v ...any)          { panic(fmt.Sprint(v...)) }
func (quiet) Fatalf(f string, v ...any) {
	panic(fmt.Sprintf(f, v...))
}
func (quiet) Panic(v ...any)            { panic(fmt.Sprint(v...)) }
func (quiet) Panicf(f string, v ...any) { panic(fmt.Sprintf(f, v...)) }
