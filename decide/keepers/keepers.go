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
	ID     uint64 // identifies a replica, from 1
	Number uint64 // log index of a committed plan; the same at all replicas, and increasing
)

// Ports contains all actions of a Replica on its environment. Implementations must not call back into the
// replica.
type Ports interface {
	// Save replaces the saved state. It must return only when the state is on disk; messages are sent
	// afterwards.
	Save(state []byte) error
	// Send sends a message to another replica. Messages may be lost, delayed, duplicated and reordered.
	Send(to ID, message []byte)
	// Committed receives each committed plan, in increasing order. A replica that fell behind may skip to a
	// later one.
	Committed(number Number, plan []byte)
	// LeadershipChanged reports whether this replica is now the leader, which makes the plans.
	LeadershipChanged(bool)
}

const (
	electionTicks, heartbeatTicks        = 10, 1
	maxMessageBytes, maxUncommittedBytes = 4 << 10, 64 << 10 // entries in one message; uncommitted entries
	maxPlanBytes                         = 16 << 10          // bytes of one plan
	maxInflightMessages                  = 8                 // unacknowledged messages to one replica
	retainedEntries                      = 16                // entries before the snapshot, kept for lagging replicas
	recoveryTicks                        = electionTicks     // interval between recovery requests

	raftMessage, recoveryRequest, recoveryReply = 1, 2, 3 // first byte of a message
)

// Replica is one member of the Raft group. It is not safe for concurrent use.
type Replica struct {
	id            ID
	members       []ID
	ports         Ports
	node          *raft.RawNode // nil while the replica recovers its state
	log           *raft.MemoryStorage
	lastPublished Number // last committed plan that was published
	leading       bool
	failure       error // reason why the replica stopped

	ticks, round uint32
	replies      map[ID]uint64 // replicas that replied in this recovery round, with their terms
	leaderState  *savedState   // state received from the leader of the highest term
	leaderTerm   uint64
}

// savedState is the persistent state of a replica.
type savedState struct {
	hardState *pb.HardState
	snapshot  *pb.Snapshot
	entries   []*pb.Entry
}

var errBadState = errors.New("saved state is missing or malformed")

// New starts a replica from its saved state. bootstrap must be true only when all replicas start for the first
// time. If otherwise the saved state is missing or malformed, the replica takes no part in Raft until it has
// recovered the state from the others. It could otherwise vote twice in a term, or for a candidate that lacks
// entries it helped to commit.
func New(id ID, members []ID, saved []byte, bootstrap bool, ports Ports) (*Replica, error) {
	k := &Replica{id: id, members: slices.Sorted(slices.Values(members)), ports: ports, replies: map[ID]uint64{}}
	if len(members)%2 == 0 || !slices.Contains(members, id) {
		return nil, fmt.Errorf("replica %[2]d in a group of %[1]d: the group must have an odd size and include the replica", len(members), id)
	}
	state, err := decodeState(saved)
	if err != nil && !bootstrap {
		return k, nil
	}
	if err != nil {
		state = &savedState{hardState: &pb.HardState{}, snapshot: k.bootstrapSnapshot()}
	}
	return k, k.start(state)
}

// bootstrapSnapshot returns the first snapshot, which holds only the group's members.
func (k *Replica) bootstrapSnapshot() *pb.Snapshot {
	return &pb.Snapshot{Metadata: &pb.SnapshotMetadata{ConfState: k.voters(), Index: proto.Uint64(1), Term: proto.Uint64(1)}}
}

// voters returns the Raft configuration of the group.
func (k *Replica) voters() *pb.ConfState {
	c := &pb.ConfState{}
	for _, id := range k.members {
		c.Voters = append(c.Voters, uint64(id))
	}
	return c
}

// start starts Raft from a saved state.
func (k *Replica) start(state *savedState) error {
	k.log = raft.NewMemoryStorage()
	snapshot := proto.Clone(state.snapshot).(*pb.Snapshot)
	// The settings decide who is a member, even if they changed since the state was saved.
	snapshot.Metadata.ConfState = k.voters()
	if err := k.log.ApplySnapshot(snapshot); err != nil {
		return err
	}
	if state.hardState.GetCommit() < snapshot.Metadata.GetIndex() {
		state.hardState.Commit, state.hardState.Term = snapshot.Metadata.Index, proto.Uint64(max(state.hardState.GetTerm(), snapshot.Metadata.GetTerm()))
	}
	if err := errors.Join(k.log.SetHardState(state.hardState), k.log.Append(state.entries)); err != nil {
		return err
	}
	if err := k.save(); err != nil {
		return err
	}
	node, err := raft.NewRawNode(&raft.Config{ID: uint64(k.id), ElectionTick: electionTicks, HeartbeatTick: heartbeatTicks, Storage: k.log,
		Applied: snapshot.Metadata.GetIndex(), MaxSizePerMsg: maxMessageBytes, MaxInflightMsgs: maxInflightMessages, MaxUncommittedEntriesSize: maxUncommittedBytes,
		CheckQuorum: true, PreVote: true, DisableProposalForwarding: true, Logger: discardLogger{}})
	if err != nil {
		return err
	}
	k.node = node
	k.publish(snapshot.Metadata.GetIndex(), snapshot.Data)
	return k.processReady()
}

// Participating reports whether the replica takes part in Raft, as opposed to recovering its state.
func (k *Replica) Participating() bool { return k.node != nil }

// Tick advances the replica's clock. The caller must call it at a fixed interval.
func (k *Replica) Tick() error {
	return k.guard(func() error {
		if k.node != nil {
			k.node.Tick()
			return k.processReady()
		}
		if k.ticks++; k.ticks%recoveryTicks == 1 {
			k.round++
			k.leaderState, k.leaderTerm = nil, 0
			clear(k.replies)
			for _, id := range k.members {
				if id != k.id {
					k.ports.Send(id, binary.BigEndian.AppendUint32([]byte{recoveryRequest}, k.round))
				}
			}
		}
		return nil
	})
}

// Propose submits a plan for replication if this replica is the leader. Ports.Committed is called once the
// plan is committed, which may never happen.
func (k *Replica) Propose(plan []byte) error {
	if len(plan) == 0 || len(plan) > maxPlanBytes {
		return fmt.Errorf("plan of %d bytes is empty or too large", len(plan))
	}
	if !k.leading {
		return errors.New("this replica is not the leader")
	}
	return k.guard(func() error {
		if err := k.node.Propose(plan); err != nil {
			return err
		}
		return k.processReady()
	})
}

// Receive processes another replica's message. A malformed or misaddressed message changes nothing.
func (k *Replica) Receive(from ID, message []byte) error {
	if len(message) < 1 || from == k.id || !slices.Contains(k.members, from) {
		return errors.New("empty message, or sender is not another replica of the group")
	}
	kind, body := message[0], message[1:]
	return k.guard(func() error {
		switch {
		case kind == raftMessage && k.node != nil:
			var m pb.Message
			if err := proto.Unmarshal(body, &m); err != nil {
				return err
			}
			if m.GetFrom() != uint64(from) || m.GetTo() != uint64(k.id) || raft.IsLocalMsg(m.GetType()) {
				return errors.New("message of raft has the wrong sender or recipient, or a local type")
			}
			if err := k.node.Step(&m); err != nil && !errors.Is(err, raft.ErrStepPeerNotFound) && !errors.Is(err, raft.ErrProposalDropped) {
				return err
			}
			return k.processReady()
		case kind == recoveryRequest && k.node != nil && len(body) == 4:
			answer := binary.BigEndian.AppendUint64(append([]byte{recoveryReply}, body...), k.node.BasicStatus().HardState.GetTerm())
			if k.leading {
				answer = append(answer, k.encodeState()...)
			}
			k.ports.Send(from, answer)
		case kind == recoveryReply && k.node == nil && len(body) >= 12 && binary.BigEndian.Uint32(body) == k.round:
			return k.recover(from, binary.BigEndian.Uint64(body[4:]), body[12:])
		}
		return nil
	})
}

// recover processes a recovery reply. Once a majority of the group has replied, some reply covers every vote
// and entry that this replica may have acknowledged, and the leader of the highest term among the replies has
// all committed entries. The replica restarts with that leader's log and a vote for that leader in its term,
// so it contradicts none of its earlier votes.
func (k *Replica) recover(from ID, term uint64, state []byte) error {
	k.replies[from] = term
	if received, err := decodeState(state); err == nil && term >= k.leaderTerm {
		received.hardState.Term, received.hardState.Vote = proto.Uint64(term), proto.Uint64(uint64(from))
		k.leaderState, k.leaderTerm = received, term
	}
	if len(k.replies) <= len(k.members)/2 || k.leaderState == nil {
		return nil
	}
	for _, t := range k.replies {
		if t > k.leaderTerm {
			return nil
		}
	}
	return k.start(k.leaderState)
}

// processReady carries out the work that Raft has ready. State is saved before any message is sent.
func (k *Replica) processReady() error {
	for k.node.HasReady() {
		ready := k.node.Ready()
		if ready.Snapshot.GetMetadata().GetIndex() > 0 {
			if err := k.log.ApplySnapshot(ready.Snapshot); err != nil && !errors.Is(err, raft.ErrSnapOutOfDate) {
				return err
			}
		}
		if ready.HardState != nil {
			if err := k.log.SetHardState(ready.HardState); err != nil {
				return err
			}
		}
		if err := k.log.Append(ready.Entries); err != nil {
			return err
		}
		if ready.HardState != nil || len(ready.Entries) > 0 || ready.Snapshot.GetMetadata().GetIndex() > 0 {
			if err := k.save(); err != nil {
				return err
			}
		}
		for _, m := range ready.Messages {
			bytes, err := proto.Marshal(m)
			if err != nil {
				return err
			}
			k.ports.Send(ID(m.GetTo()), append([]byte{raftMessage}, bytes...))
			if m.GetType() == pb.MsgSnap {
				k.node.ReportSnapshot(m.GetTo(), raft.SnapshotFinish)
			}
		}
		if at := ready.Snapshot.GetMetadata().GetIndex(); at > 0 {
			k.publish(at, ready.Snapshot.GetData())
		}
		for _, e := range ready.CommittedEntries {
			k.publish(e.GetIndex(), e.GetData())
			if err := k.compact(e); err != nil {
				return err
			}
		}
		if leads := k.node.BasicStatus().RaftState == raft.StateLeader; leads != k.leading {
			k.leading = leads
			k.ports.LeadershipChanged(leads)
		}
		k.node.Advance(ready)
	}
	return nil
}

// publish publishes a committed plan unless a later one was published already.
func (k *Replica) publish(index uint64, plan []byte) {
	if Number(index) > k.lastPublished && len(plan) > 0 {
		k.lastPublished = Number(index)
		k.ports.Committed(k.lastPublished, plan)
	}
}

// compact replaces old log entries by a snapshot with the plan of an entry once there are many. Only the last
// plan counts.
func (k *Replica) compact(entry *pb.Entry) error {
	first, err := k.log.FirstIndex()
	if err != nil || len(entry.GetData()) == 0 || entry.GetIndex()-first < 2*retainedEntries {
		return err
	}
	if _, err := k.log.CreateSnapshot(entry.GetIndex(), k.voters(), entry.GetData()); err != nil {
		return err
	}
	return k.log.Compact(entry.GetIndex() - retainedEntries)
}

func (k *Replica) save() error { return k.ports.Save(k.encodeState()) }

// encodeState encodes the persistent state: a CRC-32 checksum, then the hard state, the snapshot and the
// entries, each preceded by its length.
func (k *Replica) encodeState() []byte {
	hardState, _, _ := k.log.InitialState()
	snapshot, _ := k.log.Snapshot()
	first, _ := k.log.FirstIndex()
	last, _ := k.log.LastIndex()
	parts := []proto.Message{hardState, snapshot}
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

// decodeState decodes the output of encodeState. The checksum detects files that were partially written or
// have another format.
func decodeState(encoded []byte) (*savedState, error) {
	if len(encoded) < 4 || crc32.ChecksumIEEE(encoded[4:]) != binary.BigEndian.Uint32(encoded) {
		return nil, errBadState
	}
	state := &savedState{hardState: &pb.HardState{}, snapshot: &pb.Snapshot{}}
	next := []proto.Message{state.hardState, state.snapshot}
	for body := encoded[4:]; len(body) > 0; {
		n, used := binary.Uvarint(body)
		if used <= 0 || n > uint64(len(body)-used) {
			return nil, errBadState
		}
		var into proto.Message = &pb.Entry{}
		if len(next) > 0 {
			into, next = next[0], next[1:]
		} else {
			state.entries = append(state.entries, into.(*pb.Entry))
		}
		if proto.Unmarshal(body[used:used+int(n)], into) != nil {
			return nil, errBadState
		}
		body = body[used+int(n):]
	}
	if len(next) > 0 || state.snapshot.GetMetadata().GetIndex() == 0 {
		return nil, errBadState
	}
	return state, nil
}

// guard runs do and stops the replica for good if its disk failed or Raft panicked, for example on an
// inconsistent log. A stopped replica sends nothing more, and the panic does not end the sidecar.
func (k *Replica) guard(do func() error) (err error) {
	if k.failure != nil {
		return k.failure
	}
	defer func() {
		if crash := recover(); crash != nil {
			k.failure = fmt.Errorf("replica stopped after a panic: %v", crash)
			err = k.failure
			k.stepDown()
		}
	}()
	if err = do(); errors.Is(err, ErrDisk) {
		k.failure = err
		k.stepDown()
	}
	return err
}

func (k *Replica) stepDown() {
	if k.leading {
		k.leading = false
		k.ports.LeadershipChanged(false)
	}
}

// ErrDisk is the error that the Ports implementation returns or wraps if the state could not be saved.
var ErrDisk = errors.New("replica state could not be saved")

// discardLogger is a raft.Logger that discards all messages but panics where Raft asks for it.
type discardLogger struct{}

func (discardLogger) Debug(...any)            {}
func (discardLogger) Debugf(string, ...any)   {}
func (discardLogger) Info(...any)             {}
func (discardLogger) Infof(string, ...any)    {}
func (discardLogger) Warning(...any)          {}
func (discardLogger) Warningf(string, ...any) {}
func (discardLogger) Error(...any)            {}
func (discardLogger) Errorf(string, ...any)   {}
func (discardLogger) Fatal(v ...any)          { panic(fmt.Sprint(v...)) }
func (discardLogger) Fatalf(f string, v ...any) {
	panic(fmt.Sprintf(f, v...))
}
func (discardLogger) Panic(v ...any)            { panic(fmt.Sprint(v...)) }
func (discardLogger) Panicf(f string, v ...any) { panic(fmt.Sprintf(f, v...)) }
