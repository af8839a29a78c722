package main

import (
	"fmt"
	"strings"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"
)

// All servers leave in one version, without having drained, and the answer is a whole list that names nobody. Their processes still answer.
// In the report "31.619:v44" was written, the next call was held from 31.651 on, and requests went to those servers from 35.909 on.
func TestWholeFleetLeaves(t *testing.T) {
	const grace = 500 * time.Millisecond // as patientFile has it
	for _, c := range []struct {
		name, how string
		changes   bool // and not a whole list
		stays     bool // the second server
	}{
		{"asked for", "on_request", false, false},
		{"pushed", "pushed", false, false},
		{"by changes", "on_request", true, false},
		{"one stays", "on_request", false, true},
	} {
		t.Run(c.name, func(t *testing.T) {
			t.Parallel()
			one, sentToOne := standIn(t, "s0")
			two, sentToTwo := standIn(t, "s1")
			all := []string{line("s0", one, "in_service"), line("s1", two, "in_service")}
			var left []string
			if c.changes {
				left = []string{line("s0", one, "terminated"), line("s1", two, "terminated")}
			}
			if c.stays {
				left = all[1:]
			}
			list := discover(t, all...)
			file, listen := patientFile(t, list.at, c.how, all...)
			_, log := launch(t, file)
			within(t, "it watches", func() bool { return strings.Contains(log.text(), `"serving"`) && list.waiting(8) > 0 })
			list.change(c.changes, left...)
			within(t, "it watches on", func() bool { return list.waiting(9) > 0 })
			time.Sleep(grace)
			sentToGone := func() int64 {
				if c.stays {
					return sentToOne.Load()
				}
				return sentToOne.Load() + sentToTwo.Load()
			}
			answered := map[bool]string{false: "503", true: "200"}[c.stays]
			before := sentToGone()
			var got, want []string
			for i := range 6 {
				class := []string{"look", "book", "pay"}[i%3]
				began := time.Now()
				answer := visit(listen, class, fmt.Sprint(c.name, i))
				got = append(got, fmt.Sprintf("%s: %s, at once %v", class, strings.TrimSpace(answer[:3]), time.Since(began) < time.Second))
				want = append(want, fmt.Sprintf("%s: %s, at once true", class, answered))
			}
			got = append(got, fmt.Sprintf("sent to servers that are gone: %d", sentToGone()-before))
			want = append(want, "sent to servers that are gone: 0")
			list.set(all...)
			within(t, "it watches again", func() bool { return list.waiting(10) > 0 })
			for _, told := range []string{"no server is ready", "servers are ready"} {
				got = append(got, fmt.Sprintf("%s: %d times", told, strings.Count(log.text(), told)))
				want = append(want, fmt.Sprintf("%s: %d times", told, map[bool]int{false: 1}[c.stays]))
			}
			if diff := cmp.Diff(want, got); diff != "" {
				t.Errorf("-kept +now:\n%s\n%s", diff, log.text())
			}
		})
	}
}
