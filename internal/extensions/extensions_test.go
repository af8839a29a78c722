package extensions

import (
	"strings"
	"testing"

	"github.com/google/go-cmp/cmp"
)

const good = `[membership]
listen = "127.0.0.1:7946"
group = "siam"
from = ["127.0.0.0/8"]
`

// The examples are whole.
func TestExamples(t *testing.T) {
	for _, file := range []string{"../../deploy/membership.toml", "../../deploy/rollout.toml", "../../deploy/messages.toml"} {
		if _, err := Read(file); err != nil {
			t.Error(err)
		}
	}
}

// What can't be is told with file, line and name; what was left out is filled in.
func TestParse(t *testing.T) {
	change := func(old, with string) string { return strings.Replace(good, old, with, 1) }
	for text, want := range map[string]string{
		good: "",
		"":   "",
		good + "[membership.reach]\nn3 = \"127.0.0.1:99\"\n":                       "",
		good + "probes = 3\n":                                                      "f.toml:5: membership.probes: no such name",
		good + "probe_every = 5\n":                                                 "f.toml:5: membership.probe_every: 5 is without a unit",
		good + "probe_every = \"1ms\"\n":                                           "f.toml:5: membership.probe_every: must be from 20ms to 1m",
		good + "forget = \"1s\"\n":                                                 "f.toml:5: membership.forget: must be 60 times probe_every at least",
		good + "members_at_most = 1\n":                                             "f.toml:5: membership.members_at_most: must be from 2 to 100000",
		good + "seeds = [\"here\"]\n":                                              `f.toml:5: membership.seeds: "here" is no address, such as "10.0.3.7:7946"`,
		good + "[membership.reach]\nn3 = \"127.0.0.1\"\n":                          `f.toml:6: membership.reach.n3: "127.0.0.1" is no address, such as "10.0.3.7:7946"`,
		change(`"127.0.0.1:7946"`, `"0.0.0.0:7946"`):                               "f.toml:1: membership.advertise: is missing, with listen at all addresses",
		change(`"127.0.0.1:7946"`, `"127.0.0.1:0"`):                                `f.toml:2: membership.listen: "127.0.0.1:0" has no port`,
		change(`"127.0.0.0/8"`, `"everybody"`):                                     `f.toml:4: membership.from: "everybody" is no network, such as "10.0.0.0/8"`,
		change(`group = "siam"`, ``):                                               "f.toml:1: membership.group: is missing",
		change(`from = `, `of = `):                                                 "f.toml:4: membership.of: no such name",
		"[member]\n":                                                               "f.toml:1: member: no such name",
		good + "[rollout]\nfolder = \"/tmp\"\npublish_from = [\"127.0.0.1/32\"]\n": "",
		good + "[rollout]\n":                                                       "f.toml:5: rollout.folder: is missing: where this sidecar keeps configurations",
		good + "[rollout]\nfolder = \"/tmp\"\nsource = true\n":                     "f.toml:7: rollout.source: no such name",
		good + "[rollout]\nfolder = 5\n":                                           "f.toml:6: rollout.folder: cannot decode TOML integer into struct field extensions.Rollout.Folder of type string",
		good + "[rollout]\nfolder = \"/tmp\"\npublish_from = [\"us\"]\n":           `f.toml:7: rollout.publish_from: "us" is no network, such as "127.0.0.1/32"`,
		good + "[messages]\nbytes = \"11000/s\"\n":                                 "",
		good + "[messages]\n":                                                      "",
		good + "[messages]\nbytes = \"999/s\"\n":                                   "f.toml:6: messages.bytes: must be from 1000/s to 1000000/s",
		good + "[messages]\nbytes = \"2000000/s\"\n":                               "f.toml:6: messages.bytes: must be from 1000/s to 1000000/s",
		good + "[messages]\nbytes = 11000\n":                                       "f.toml:6: messages.bytes: 11000 is without a unit",
		good + "[messages]\nmost = \"11000/s\"\n":                                  "f.toml:6: messages.most: no such name",
		"[rollout]\nfolder = \"/tmp\"\n":                                           "f.toml:2: rollout.folder: members carry it: there is no [membership]",
	} {
		f, err := Parse("f.toml", []byte(text))
		got := ""
		if err != nil {
			got = err.Error()
		}
		if diff := cmp.Diff(want, got); diff != "" {
			t.Errorf("%s\n%s", text, diff)
		}
		if err == nil && text != "" && (f.Membership.Every != usualEvery || f.Membership.Exchange != 30_000_000 || f.Membership.At.Advertise.Port() != 7946) {
			t.Errorf("%+v", f.Membership)
		}
	}
}
