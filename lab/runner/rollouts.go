package runner

import (
	"encoding/binary"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"slices"
	"strings"
	"time"

	"ledgespread/lab/clock"
)

// This file runs sidecars that distribute configurations among themselves (rollouts). The first few are
// control machines, where operators may publish.

// writeRolloutSection adds the rollout section to the extensions file of sidecar i.
func (rig *Rig) writeRolloutSection(text *strings.Builder, i int) {
	if rig.scenario.Members.ControlMachines == 0 {
		return
	}
	fmt.Fprintf(text, "[rollout]\nfolder = %q\n", rig.folder)
	if i < rig.scenario.Members.ControlMachines {
		text.WriteString("publish_from = [\"127.0.0.0/8\"]\n")
	}
}

// RolloutStatus is a sidecar's rollout status, as it reports it.
type RolloutStatus struct {
	InForce, Newest uint64
	Digest          string // of the newest configuration
	OnTrial         bool   // this sidecar is trying the newest configuration
	Contested       bool   // two different configurations were published under one number
	Stage, Why      string
	Counts          map[string]int64
	Reports         []string
}

// requestRollout sends a rollout command to a sidecar at its own address, bypassing the gates, and returns
// the reply.
func (rig *Rig) requestRollout(i int, command string) ([]byte, error) {
	conn, err := net.DialTimeout("tcp", rig.MemberAddress(i).String(), 2*time.Second)
	if err != nil {
		return nil, err
	}
	defer conn.Close()
	conn.SetDeadline(time.Now().Add(5 * time.Second))
	command = "ledgespread rollout 1 " + command
	if _, err := conn.Write(append(binary.BigEndian.AppendUint32(nil, uint32(len(command))), command...)); err != nil {
		return nil, err
	}
	var head [4]byte
	if _, err := io.ReadFull(conn, head[:]); err != nil {
		return nil, err
	}
	return io.ReadAll(conn)
}

// Publish sends a configuration to a control machine, as operators do. Number 0 asks for the next free
// number. refused is the sidecar's reason if it refuses the configuration.
func (rig *Rig) Publish(i int, number uint64, text string) (refused string, err error) {
	reply, err := rig.requestRollout(i, fmt.Sprintf("publish %d\n%s", number, text))
	if err != nil {
		return "", err
	}
	if why, isRefused := strings.CutPrefix(string(reply), "refused "); isRefused {
		return why, nil
	}
	if !strings.HasPrefix(string(reply), "number ") {
		return "", fmt.Errorf("n%d answers %q", i, reply)
	}
	return "", nil
}

// RolloutStatus fetches the rollout status of sidecar i.
func (rig *Rig) RolloutStatus(i int) (*RolloutStatus, error) {
	text, err := rig.requestRollout(i, "status")
	if err != nil {
		return nil, err
	}
	var status struct {
		Newest *struct {
			Number uint64
			Digest string
		}
		Force     *struct{ Number uint64 } `json:"in_force"`
		OnTrial   bool                     `json:"on_trial"`
		Contested bool
		Stage     string
		Why       string
		Counts    map[string]int64
		Reports   []struct{ Member, Verdict string }
	}
	if err := json.Unmarshal(text, &status); err != nil {
		return nil, err
	}
	converted := &RolloutStatus{OnTrial: status.OnTrial, Contested: status.Contested, Stage: status.Stage, Why: status.Why, Counts: status.Counts}
	if status.Force != nil {
		converted.InForce = status.Force.Number
	}
	if status.Newest != nil {
		converted.Newest, converted.Digest = status.Newest.Number, status.Newest.Digest
	}
	for _, report := range status.Reports {
		converted.Reports = append(converted.Reports, report.Member+" "+report.Verdict)
	}
	return converted, nil
}

// AwaitRolloutStatus polls the rollout status of these sidecars until the condition has held for each at least
// once, and returns how long that took. It returns an error when the timeout passes first.
func (rig *Rig) AwaitRolloutStatus(members []int, timeout time.Duration, holds func(i int, status *RolloutStatus) bool) (Micros, error) {
	begun := rig.clock.Now()
	last := map[int]string{}
	for waiting := slices.Clone(members); ; (5 * clock.Milli).Sleep() {
		waiting = slices.DeleteFunc(waiting, func(i int) bool {
			status, err := rig.RolloutStatus(i)
			if err == nil {
				last[i] = fmt.Sprintf("%+v", *status)
			} else {
				last[i] = err.Error()
			}
			return err == nil && holds(i, status)
		})
		if took := rig.clock.Now() - begun; len(waiting) == 0 {
			return took, nil
		} else if took > clock.Span(timeout) {
			return took, fmt.Errorf("after %v n%d has the rollout status %s", took.Duration(), waiting[0], last[waiting[0]])
		}
	}
}

// InForce returns a condition: this configuration number is in force.
func InForce(number uint64) func(int, *RolloutStatus) bool {
	return func(_ int, status *RolloutStatus) bool { return status.InForce == number }
}

// AppliedConfiguration is one log line in which a sidecar reports that a configuration came into force there.
type AppliedConfiguration struct {
	At      Micros
	Sidecar int
	Number  uint64
}

// AppliedConfigurations returns the AppliedConfiguration lines of all sidecars, each sidecar's in the order of its log.
func (rig *Rig) AppliedConfigurations() (out []AppliedConfiguration) {
	for i, sidecar := range rig.sidecars {
		for _, logged := range sidecar.Lines() {
			var line struct {
				Message, Part string
				Number        uint64
			}
			if json.Unmarshal([]byte(logged.Text), &line) == nil && line.Part == "rollout" && line.Message == "a configuration is in force" {
				out = append(out, AppliedConfiguration{logged.At, i, line.Number})
			}
		}
	}
	return out
}
