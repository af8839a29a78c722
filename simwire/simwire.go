// Package simwire implements the simulator's binary protocol and drives one brain.Balancer for each simulated instance.
//
// The simulator sends batches of fixed-size event records and gets a reply of fixed-size action records for each batch.
// Records refer to data of variable length by offset and length in a tail after the records. Fields are passed to the
// balancer as they are decoded and its actions are encoded as it makes them, without message types in between. Another
// protocol would be another package that calls brain in the same way.
package simwire

import (
	"bufio"
	"encoding/binary"
	"errors"
	"fmt"
	"io"
	"math"

	"ledgespread/brain"
	"ledgespread/internal/peermessage"
	"ledgespread/internal/site"
)

// Sizes in bytes.
const (
	eventSize     = 48
	actionSize    = 24
	entrySize     = 25 // one server of a list
	batchHeadSize = 20 // with the length field
	replyHeadSize = 12 // with the length field
	maxBatchBytes = 1 << 30
)

// Codes of event records, which the simulator sends.
const (
	eventAttach        = 1 // create an instance from its settings
	eventListUpdate    = 2
	eventRequest       = 3
	eventAnswerStarted = 4
	eventOutcome       = 5
	eventDisconnect    = 6 // the client of a request left
	eventWake          = 7
	eventProbeOutcome  = 8 // checked only: the balancer has no use for it
	eventMessage       = 9 // from another instance
	eventDetach        = 10
	eventList          = 11 // a server list, for the list updates that refer to it
)

// Codes of action records, which the balancers send.
const (
	actionDispatch     = 1
	actionReject       = 2
	actionFail         = 3
	actionCancel       = 4
	actionWake         = 5
	actionCloseIdle    = 7
	actionSend         = 8
	actionPrint        = 9
	actionFault        = 10
	actionSubscription = 11
	actionSnapshot     = 12
)

// Server states in a list entry.
const (
	stateGone     = 0
	stateDraining = 2
	stateReady    = 3
)

// Limits of an outcome record.
const (
	minResult     = 1
	maxResult     = 8
	maxLoadValues = 4
)

var be = binary.BigEndian

// reply collects the records and the tail of one reply. Both buffers are reused for the next reply.
type reply struct {
	records, tail []byte
	count         uint32
}

// addRecord appends a record with its code and instance, and returns it for the other fields.
func (r *reply) addRecord(code byte, instance uint16) []byte {
	start := len(r.records)
	r.records = append(r.records, make([]byte, actionSize)...)
	record := r.records[start:]
	record[0] = code
	be.PutUint16(record[1:], instance)
	r.count++
	return record
}

// addText appends a record that refers to a text in the tail.
func (r *reply) addText(code byte, instance uint16, text string) {
	record := r.addRecord(code, instance)
	be.PutUint32(record[3:], uint32(len(r.tail)))
	be.PutUint32(record[7:], uint32(len(text)))
	r.tail = append(r.tail, text...)
}

// ports implements brain.Ports for one instance by adding action records to the reply.
type ports struct {
	instance uint16
	reply    *reply
}

// wireMicros clamps a duration to the 32 bits that it has in a record.
func wireMicros(duration brain.Micros) uint32 { return uint32(min(max(duration, 0), math.MaxUint32)) }

// putServer encodes a server as 4 bytes of address and 2 bytes of port.
func putServer(p []byte, id brain.ServerID) {
	be.PutUint32(p, uint32(id>>16))
	be.PutUint16(p[4:], uint16(id))
}

// readServer decodes what putServer encodes.
func readServer(p []byte) brain.ServerID {
	return brain.ServerID(be.Uint32(p))<<16 | brain.ServerID(be.Uint16(p[4:]))
}

func (p ports) Dispatch(request brain.RequestID, server brain.ServerID, tryFor brain.Micros) {
	record := p.reply.addRecord(actionDispatch, p.instance)
	be.PutUint64(record[3:], uint64(request))
	putServer(record[11:], server)
	be.PutUint32(record[17:], wireMicros(tryFor))
}

func (p ports) Reject(request brain.RequestID, retryAfter brain.Micros, _ brain.Reason) {
	record := p.reply.addRecord(actionReject, p.instance)
	be.PutUint64(record[3:], uint64(request))
	be.PutUint32(record[11:], wireMicros(retryAfter))
}

func (p ports) Fail(request brain.RequestID, _ brain.Reason) {
	be.PutUint64(p.reply.addRecord(actionFail, p.instance)[3:], uint64(request))
}

func (p ports) Cancel(request brain.RequestID, attempt brain.AttemptIndex) {
	record := p.reply.addRecord(actionCancel, p.instance)
	be.PutUint64(record[3:], uint64(request))
	record[11] = byte(attempt)
}

func (p ports) Wake(delay brain.Micros, token brain.Token) {
	record := p.reply.addRecord(actionWake, p.instance)
	be.PutUint32(record[3:], wireMicros(delay))
	be.PutUint32(record[7:], uint32(token))
}

func (p ports) CloseIdle(server brain.ServerID) {
	putServer(p.reply.addRecord(actionCloseIdle, p.instance)[3:], server)
}
func (p ports) Print(line string) { p.reply.addText(actionPrint, p.instance, line) }
func (p ports) Subscribe()        { p.reply.addRecord(actionSubscription, p.instance)[3] = 1 }

// Unsubscribe ends the subscription to list changes. The protocol has this action, but the balancer doesn't use it.
func (p ports) Unsubscribe() { p.reply.addRecord(actionSubscription, p.instance) }

// Snapshot asks for a snapshot. The protocol has this action, but the balancer doesn't use it.
func (p ports) Snapshot() { p.reply.addRecord(actionSnapshot, p.instance) }

func (p ports) SendMessage(peer brain.Peer, kind brain.MessageKind, server brain.ServerID, figures ...float64) {
	record := p.reply.addRecord(actionSend, p.instance)
	be.PutUint32(record[3:], uint32(peer))
	be.PutUint32(record[7:], uint32(len(p.reply.tail)))
	start := len(p.reply.tail)
	p.reply.tail = peermessage.Append(p.reply.tail, kind, server, figures...)
	be.PutUint32(record[11:], uint32(len(p.reply.tail)-start))
}

// host holds the instances of one process. Apart from the received lists and the reply that they write to, they share
// nothing.
type host struct {
	balancers map[uint16]*brain.Balancer // by instance; nil: its settings were refused
	lists     [16][]byte                 // by list number, as last received
	received  [16]bool                   // by list number
	reply     reply
}

// Serve replies to batches until the end of input. At the first malformed batch it returns an error and writes no
// part of a reply to that batch.
func Serve(in io.Reader, out io.Writer) error {
	reader, writer := bufio.NewReaderSize(in, 1<<16), bufio.NewWriterSize(out, 1<<16)
	host := &host{balancers: map[uint16]*brain.Balancer{}}
	var frame []byte
	var head [4]byte
	for {
		if _, err := io.ReadFull(reader, head[:]); err != nil {
			if errors.Is(err, io.EOF) {
				return nil
			}
			return fmt.Errorf("truncated batch header: %w", err)
		}
		n := int(be.Uint32(head[:]))
		if n < batchHeadSize-4 || n > maxBatchBytes {
			return fmt.Errorf("invalid batch length: %d bytes", n)
		}
		if cap(frame) < n {
			frame = make([]byte, n+n/2)
		}
		frame = frame[:n]
		if _, err := io.ReadFull(reader, frame); err != nil {
			return fmt.Errorf("truncated batch: %w", err)
		}
		count, now, seq := int(be.Uint32(frame)), brain.Micros(be.Uint64(frame[4:])), be.Uint32(frame[12:])
		body := frame[16:]
		if count*eventSize > len(body) {
			return fmt.Errorf("batch %d: %d records do not fit in %d bytes", seq, count, len(body))
		}
		host.reply.records, host.reply.tail, host.reply.count = host.reply.records[:0], host.reply.tail[:0], 0
		tail := body[count*eventSize:]
		for i := range count {
			if err := host.event(now, body[i*eventSize:(i+1)*eventSize], tail); err != nil {
				return fmt.Errorf("batch %d, record %d: %w", seq, i, err)
			}
		}
		var replyHead [4 + 8]byte
		be.PutUint32(replyHead[0:], uint32(replyHeadSize-4+len(host.reply.records)+len(host.reply.tail)))
		be.PutUint32(replyHead[4:], host.reply.count)
		be.PutUint32(replyHead[8:], seq)
		writer.Write(replyHead[:])
		writer.Write(host.reply.records)
		writer.Write(host.reply.tail)
		if err := writer.Flush(); err != nil {
			return fmt.Errorf("could not write the reply: %w", err)
		}
	}
}

// tailSlice returns the part of the tail that ref, an offset and a count of items of the given size, refers to.
func tailSlice(ref, tail []byte, size uint64) ([]byte, error) {
	offset, length := uint64(be.Uint32(ref)), uint64(be.Uint32(ref[4:]))*size
	if offset+length > uint64(len(tail)) {
		return nil, fmt.Errorf("%d bytes at %d lie outside the tail of %d", length, offset, len(tail))
	}
	return tail[offset : offset+length], nil
}

// event passes one event record to its instance's balancer. A panic of a balancer goes into the reply as a fault, with
// the instance that it happened in. Lists are kept for the updates that refer to them.
func (h *host) event(now brain.Micros, record, tail []byte) error {
	if record[0] == eventList { // belongs to no instance: any update may refer to it
		id := be.Uint32(record[1:])
		if id >= uint32(len(h.lists)) {
			return fmt.Errorf("list number %d is out of range", id)
		}
		lines, err := tailSlice(record[5:], tail, entrySize)
		if err != nil {
			return err
		}
		h.lists[id], h.received[id] = append(h.lists[id][:0], lines...), true
		return nil
	}
	instance := be.Uint16(record[1:])
	defer func() {
		if panicked := recover(); panicked != nil {
			h.reply.addText(actionFault, instance, fmt.Sprint(panicked))
		}
	}()
	balancer := h.balancers[instance]
	if record[0] == eventAttach {
		text, err := tailSlice(record[11:], tail, 1)
		if err != nil {
			return err
		}
		settings, err := site.Flatten(text)
		if err != nil {
			return fmt.Errorf("settings of instance %d: %w", instance, err)
		}
		created, err := brain.New(now, settings, be.Uint64(record[3:]), ports{instance, &h.reply})
		if err != nil {
			h.reply.addText(actionFault, instance, err.Error())
			created = nil
		}
		h.balancers[instance] = created
		return nil
	}
	if record[0] == 0 || record[0] > eventDetach {
		return fmt.Errorf("unknown event code %d", record[0])
	}
	if _, attached := h.balancers[instance]; !attached {
		return fmt.Errorf("event %d for instance %d, which is not attached", record[0], instance)
	}
	if record[0] == eventDetach {
		delete(h.balancers, instance)
		return nil
	}
	if balancer == nil { // its settings were refused, which was reported at attach
		return nil
	}
	switch record[0] {
	case eventListUpdate:
		return h.updateList(now, balancer, record)
	case eventRequest:
		options := be.Uint16(record[33:])
		var effort brain.Micros
		if options&1 != 0 {
			effort = brain.Micros(be.Uint32(record[29:]))
		}
		balancer.HandleRequest(now, brain.RequestID(be.Uint64(record[3:])), brain.ClassID(be.Uint16(record[11:])),
			brain.TenantID(be.Uint32(record[13:])), brain.Micros(be.Uint32(record[25:])), effort, options&2 != 0, false)
	case eventAnswerStarted:
		balancer.HandleAnswerStart(now, brain.RequestID(be.Uint64(record[3:])), brain.AttemptIndex(record[11]))
	case eventOutcome:
		if err := checkReport(record[18], record[24]); err != nil {
			return err
		}
		balancer.HandleOutcome(now, brain.RequestID(be.Uint64(record[3:])), brain.AttemptIndex(record[11]), brain.Result(record[18]),
			brain.Micros(be.Uint32(record[19:])), record[23] != 0, readLoad(record[24:])...)
	case eventDisconnect:
		balancer.HandleDisconnect(now, brain.RequestID(be.Uint64(record[3:])))
	case eventWake:
		balancer.HandleWake(now, brain.Token(be.Uint32(record[3:])))
	case eventProbeOutcome:
		if err := checkReport(record[9], record[14]); err != nil {
			return err
		}
	case eventMessage:
		msg, err := tailSlice(record[5:], tail, 1)
		if err != nil {
			return err
		}
		if kind, about, figures, ok := peermessage.Decode(msg); ok {
			balancer.HandleMessage(now, brain.Peer(be.Uint16(record[3:])), kind, about, figures...)
		}
	}
	return nil
}

// readLoad decodes a load report: the number of values, then the values.
func readLoad(report []byte) (load []float64) {
	for i := range int(report[0]) {
		load = append(load, float64(math.Float32frombits(be.Uint32(report[1+4*i:]))))
	}
	return load
}

// checkReport rejects a result code or a number of load values that the protocol doesn't define.
func checkReport(result, values byte) error {
	if result < minResult || result > maxResult {
		return fmt.Errorf("unknown outcome %d", result)
	}
	if values > maxLoadValues {
		return fmt.Errorf("load report of %d values, more than %d", values, maxLoadValues)
	}
	return nil
}

// updateList passes a list update, entry by entry, to a balancer.
func (h *host) updateList(now brain.Micros, balancer *brain.Balancer, record []byte) error {
	kind := brain.ListKind(record[3])
	if kind > brain.ListCallFailed {
		return fmt.Errorf("unknown kind of list %d", record[3])
	}
	var lines []byte
	if id := be.Uint32(record[12:]); kind != brain.ListCallFailed {
		if id >= uint32(len(h.lists)) || !h.received[id] {
			return fmt.Errorf("list %d was never sent", id)
		}
		lines = h.lists[id]
	}
	balancer.BeginList(now, kind)
	for ; len(lines) > 0; lines = lines[entrySize:] {
		var state brain.ServerState
		switch lines[12] {
		case stateGone:
			state = brain.Gone
		case stateDraining:
			state = brain.Draining
		case stateReady:
			state = brain.Ready
		default:
			return fmt.Errorf("unknown server state %d", lines[12])
		}
		balancer.ListServer(now, readServer(lines), brain.Zone(be.Uint16(lines[6:])), brain.Cell(be.Uint16(lines[10:])), state,
			float64(math.Float32frombits(be.Uint32(lines[13:]))), brain.Micros(be.Uint64(lines[17:])))
	}
	balancer.EndList(now)
	return nil
}
