package main

import (
	"fmt"
	"strings"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"
)

// One entry of a list that can't be used had the whole answer refused, for as long as the entry stood: a server that was drained beside it got
// requests till the end of the day.
func TestDrainBesideUnusableEntry(t *testing.T) {
	const grace = 500 * time.Millisecond // as patientFile has it
	for name, odd := range map[string]string{
		"unknown zone":       strings.Replace(line("new", "127.0.0.1:9", "in_service"), "here", "nowhere", 1),
		"unknown health":     line("new", "127.0.0.1:9", "resting"),
		"no address":         line("new", "", "in_service"),
		"no name":            `{"dial":"127.0.0.1:9"}`,
		"no server":          `7`,
		"a listed one rests": "",
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			draining, sent := standIn(t, "s0")
			ready, _ := standIn(t, "s1")
			list := discover(t, line("s0", draining, "in_service"), line("s1", ready, "in_service"))
			file, listen := patientFile(t, list.at, "on_request", line("s0", draining, "in_service"), line("s1", ready, "in_service"))
			_, log := launch(t, file)
			within(t, "it watches", func() bool { return strings.Contains(log.text(), `"serving"`) && list.waiting(8) > 0 })
			entries := []string{line("s0", draining, "terminating"), odd, line("s1", ready, "in_service")}
			if odd == "" {
				entries = []string{line("s0", draining, "resting"), line("s1", ready, "in_service")}
			}
			list.change(true, entries...)
			within(t, "it watches on", func() bool { return list.waiting(9) > 0 })
			time.Sleep(grace)
			before := sent.Load()
			var got, want []string
			for i := range 8 {
				got = append(got, visit(listen, "look", fmt.Sprint(name, i)))
				want = append(want, "200 s1")
			}
			got = append(got, fmt.Sprintf("sent to the draining server: %d", sent.Load()-before))
			want = append(want, "sent to the draining server: 0")
			if diff := cmp.Diff(want, got); diff != "" {
				t.Errorf("-kept +now:\n%s\n%s", diff, log.text())
			}
		})
	}
}
