package main

import (
	"fmt"
	"strings"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"
)

// All servers leave the list in one version without draining first, so that discovery sends a full list without entries,
// while their processes still answer. Sidecars must stop sending to them. In the reported run discovery wrote version 44
// at 31.619 s and held the next call from 31.651 s on, yet requests went to those servers from 35.909 s on.
func TestAllServersLeave(t *testing.T) {
	const grace = 500 * time.Millisecond // stop_sending_within_us in writeLenientConfig
	for _, test := range []struct {
		name, delivery string
		asChanges      bool // the answer lists the changes, not all servers
		secondStays    bool // the second server stays in the list
	}{
		{"asked for", "on_request", false, false},
		{"pushed", "pushed", false, false},
		{"by changes", "on_request", true, false},
		{"one stays", "on_request", false, true},
	} {
		t.Run(test.name, func(t *testing.T) {
			t.Parallel()
			one, sentToOne := startServer(t, "s0")
			two, sentToTwo := startServer(t, "s1")
			allEntries := []string{serverEntry("s0", one, "in_service"), serverEntry("s1", two, "in_service")}
			var newEntries []string
			if test.asChanges {
				newEntries = []string{serverEntry("s0", one, "terminated"), serverEntry("s1", two, "terminated")}
			}
			if test.secondStays {
				newEntries = allEntries[1:]
			}
			discoveryServer := startDiscovery(t, allEntries...)
			file, listen := writeLenientConfig(t, discoveryServer.address, test.delivery, allEntries...)
			_, log := startProgram(t, file)
			eventually(t, "it watches", func() bool { return strings.Contains(log.text(), `"serving"`) && discoveryServer.heldAt(8) > 0 })
			discoveryServer.publish(test.asChanges, newEntries...)
			eventually(t, "it watches on", func() bool { return discoveryServer.heldAt(9) > 0 })
			time.Sleep(grace)
			sentToGone := func() int64 {
				if test.secondStays {
					return sentToOne.Load()
				}
				return sentToOne.Load() + sentToTwo.Load()
			}
			wantStatus := map[bool]string{false: "503", true: "200"}[test.secondStays]
			before := sentToGone()
			var got, want []string
			for i := range 6 {
				class := []string{"look", "book", "pay"}[i%3]
				began := time.Now()
				answer := sendRequest(listen, class, fmt.Sprint(test.name, i))
				got = append(got, fmt.Sprintf("%s: %s, at once %v", class, strings.TrimSpace(answer[:3]), time.Since(began) < time.Second))
				want = append(want, fmt.Sprintf("%s: %s, at once true", class, wantStatus))
			}
			got = append(got, fmt.Sprintf("sent to servers that are gone: %d", sentToGone()-before))
			want = append(want, "sent to servers that are gone: 0")
			discoveryServer.setList(allEntries...)
			eventually(t, "it watches again", func() bool { return discoveryServer.heldAt(10) > 0 })
			if !test.secondStays { // the next call may come before the list is in force
				eventually(t, "the list is in force", func() bool { return strings.Contains(log.text(), "servers are ready") })
			}
			for _, message := range []string{"no server is ready", "servers are ready"} {
				got = append(got, fmt.Sprintf("%s: %d times", message, strings.Count(log.text(), message)))
				want = append(want, fmt.Sprintf("%s: %d times", message, map[bool]int{false: 1}[test.secondStays]))
			}
			if diff := cmp.Diff(want, got); diff != "" {
				t.Errorf("-want +got:\n%s\n%s", diff, log.text())
			}
		})
	}
}
