package hollow

import (
	"strconv"
	"sync/atomic"

	"ledgespread/brain"
	"ledgespread/decide/summary"
	"ledgespread/internal/peermessage"
)

func itoa(i int) string { return strconv.Itoa(i) }

// DatagramHeaderBytes is the per-datagram overhead in bytes: the IPv4 header (20) and the UDP header (8).
const DatagramHeaderBytes = 28

const (
	kindCount     = int(summary.Totals) + 1
	seriesSeconds = 256 // length of the per-second series; later traffic counts in the totals only
)

// MessageSize returns the encoded length in bytes of a sidecar message that carries this many figures.
func MessageSize(figures int) int64 { return int64(peermessage.Size(figures)) }

// Account counts the messages and bytes between sidecars, per sidecar, direction, message kind and second.
// It is safe for concurrent use.
type Account struct {
	sidecars         int
	received, sent   []messageCounts
	receivedBySecond []atomic.Int64 // bytes received; index second*sidecars + sidecar
	sentBySecond     []atomic.Int64
	SkipEvery        int64 // skips every SkipEvery-th message, to show that the checks detect a wrong count; 0 skips none
	messagesSeen     atomic.Int64
}

type messageCounts struct {
	messages, bytes [kindCount]atomic.Int64
}

// NewAccount returns an empty account for this many sidecars.
func NewAccount(sidecars int) *Account {
	return &Account{sidecars: sidecars, received: make([]messageCounts, sidecars), sent: make([]messageCounts, sidecars), receivedBySecond: make([]atomic.Int64, sidecars*seriesSeconds),
		sentBySecond: make([]atomic.Int64, sidecars*seriesSeconds)}
}

// Record records one message for its sender and its receiver. A hollow receiver records it on receipt. For a real receiver,
// the relay in front of it or the hollow sender records it, so that the real sidecar's own counter can be checked against
// the account.
func (a *Account) Record(at brain.Micros, from, to brain.Peer, kind brain.MessageKind, figures int) {
	if a.SkipEvery > 0 && a.messagesSeen.Add(1)%a.SkipEvery == 0 {
		return
	}
	if int(from) >= a.sidecars || int(to) >= a.sidecars || int(kind) >= kindCount {
		return
	}
	size := MessageSize(figures)
	a.received[to].messages[kind].Add(1)
	a.received[to].bytes[kind].Add(size)
	a.sent[from].messages[kind].Add(1)
	a.sent[from].bytes[kind].Add(size)
	if second := int(at / 1_000_000); second >= 0 && second < seriesSeconds {
		a.receivedBySecond[second*a.sidecars+int(to)].Add(size)
		a.sentBySecond[second*a.sidecars+int(from)].Add(size)
	}
}

// KindCounts holds one sidecar's message and byte counts in one direction, indexed by message kind.
type KindCounts struct{ Messages, Bytes [kindCount]int64 }

// isTenant reports whether a message kind is about tenant usage. All other kinds are about servers.
func isTenant(kind int) bool {
	switch brain.MessageKind(kind) {
	case brain.TenantUse, brain.TenantTotals, summary.Usage, summary.Totals:
		return true
	}
	return false
}

// Split returns the totals {messages, bytes} of the kinds about servers and of the kinds about tenants.
func (k KindCounts) Split() (peers, tenants [2]int64) {
	for kind := range kindCount {
		into := &peers
		if isTenant(kind) {
			into = &tenants
		}
		into[0] += k.Messages[kind]
		into[1] += k.Bytes[kind]
	}
	return peers, tenants
}

// Since returns the counts since an earlier snapshot.
func (k KindCounts) Since(before KindCounts) KindCounts {
	for i := range kindCount {
		k.Messages[i] -= before.Messages[i]
		k.Bytes[i] -= before.Bytes[i]
	}
	return k
}

// Snapshot returns a snapshot of the counts of every sidecar, received and sent.
func (a *Account) Snapshot() (in, out []KindCounts) {
	read := func(lines []messageCounts) (all []KindCounts) {
		for i := range lines {
			var counts KindCounts
			for kind := range kindCount {
				counts.Messages[kind], counts.Bytes[kind] = lines[i].messages[kind].Load(), lines[i].bytes[kind].Load()
			}
			all = append(all, counts)
		}
		return all
	}
	return read(a.received), read(a.sent)
}

// MaxPerSecond returns the maximum bytes that any one sidecar received, and sent, in one whole second of a time range.
func (a *Account) MaxPerSecond(from, to brain.Micros) (in, out int64) {
	a.bySecond(int(from/1_000_000)+1, to, func(_ int, received, sent int64) { in, out = max(in, received), max(out, sent) })
	return in, out
}

// BusiestSidecar returns the maximum bytes that one sidecar received and sent together in one whole second of a time range,
// and the number of that sidecar.
func (a *Account) BusiestSidecar(from, to brain.Micros) (maxBytes int64, sidecar int) {
	a.bySecond(int((from+999_999)/1_000_000), to, func(number int, in, out int64) {
		if in+out > maxBytes {
			maxBytes, sidecar = in+out, number
		}
	})
	return maxBytes, sidecar
}

// bySecond calls each with every sidecar's bytes received and sent, for each whole second from first until to.
func (a *Account) bySecond(first int, to brain.Micros, each func(sidecar int, in, out int64)) {
	for second := first; second < min(int(to/1_000_000), seriesSeconds); second++ {
		for i := range a.sidecars {
			each(i, a.receivedBySecond[second*a.sidecars+i].Load(), a.sentBySecond[second*a.sidecars+i].Load())
		}
	}
}
