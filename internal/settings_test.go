package internal_test

import (
	"fmt"
	"regexp"
	"strings"
	"testing"
	"time"

	"github.com/rs/zerolog"

	"ledgespread/internal/counters"
	"ledgespread/internal/exchange"
	"ledgespread/internal/memory"
	"ledgespread/internal/outbound"
	"ledgespread/internal/site"
)

// Answers of any status may carry a load report. A malformed report is ignored and counted, and the answer is still
// delivered.
func TestLoadReports(t *testing.T) {
	for _, configured := range []bool{true, false} {
		var tr trace
		var counts counters.Set
		var loads []string
		if configured {
			loads = []string{"concurrent", "load_share"}
		}
		server := startFakeServer(t, func(_ int, path string) string {
			report := map[string]string{"/ours": `{"load_share":0.5,"concurrent":3}`, "/theirs": `{"inflight":7,"queue":2,"util":0.61}`,
				"/full": `{"inflight":9,"util":1}`, "/part": `{"inflight":7}`, "/word": `{"inflight":"7","util":0.61}`,
				"/less": `{"inflight":-7,"util":0.61}`, "/vast": `{"inflight":1e999,"util":0.61}`, "/text": "busy", "/none": ""}[path]
			line := ""
			if path != "/none" {
				line = "X-Server-Load: " + report + "\r\n"
			}
			if path == "/full" {
				return "HTTP/1.1 503 x\r\nX-Not-Processed: 1\r\n" + line + "Content-Length: 0\r\n\r\n"
			}
			return "HTTP/1.1 200 OK\r\n" + line + "Content-Length: 2\r\n\r\nhi"
		})
		o := outbound.New(10*second, second, 9, memory.New(4<<20), loads, &counts, zerolog.Nop())
		for _, path := range []string{"/ours", "/theirs", "/full", "/part", "/word", "/less", "/vast", "/text", "/none"} {
			end := make(chan string, 1)
			o.Send(exchange.New().SetContent([]byte("GET "+path+" HTTP/1.1\r\nHost: a\r\n"), nil, nil), 1, server.Addr().String(), deadlineAfter(second), time.Time{},
				func(_ *exchange.Answer, _ bool, load []float64, err error) {
					end <- fmt.Sprintf("%s %v", resultNames[outbound.ResultOf(err)], load)
				})
			tr.add("%s: %s", path, <-end)
		}
		tr.add("read %d, unreadable %d", counts[counters.LoadReportsRead].Load(), counts[counters.LoadReportsMalformed].Load())
		tr.compare(t, map[bool]string{true: `
/ours: delivered [3 0.5]
/theirs: delivered [7 0.61]
/full: full [9 1]
/part: delivered []
/word: delivered []
/less: delivered []
/vast: delivered []
/text: delivered []
/none: delivered []
read 3, unreadable 5`, false: `
/ours: delivered []
/theirs: delivered []
/full: full []
/part: delivered []
/word: delivered []
/less: delivered []
/vast: delivered []
/text: delivered []
/none: delivered []
read 0, unreadable 0`}[configured])
	}
}

const fullConfiguration = `{"name":"n0","listen":"127.0.0.1:1","discovery":"127.0.0.1:2","seed":"a1","limits":{"cores":1,"memory_mb":64,
"sockets":64},"known":{"seq":7,"whole":true,"hosts":[]},"settings":{"my_zone":0,"azs":["here"],"balancers":4,"me":1,
"discovery":"on_request","step_us":1000,"path_prefixes":[{"name":"look","effect":"read_like","group":"all",
"target_latency_us":400000,"client_timeout_us":800000,"memory_span_us":500000,"value":1,"late_value":0}],
"allowed":{"cancel":true,"may_duplicate":true,"max_backend_fetches":5,"conn_idle_us":10000000,"multiplex":100},
"telemetry":{"how":"inline","fields":["err_ps","concurrent"]},"tariffs":{"connection":0.03,"handshake":0},
"realms":[{"name":"r","quota_per_s":9}],"obligations":{"cold_from":0.3,"cold_us":8000000,"fall_multiple":3,"fall_us":1500000,
"ask_every_us":10000000}}}`

// Each setting that decisions use is checked when the configuration is read; an invalid value is refused with one
// line that names the setting.
func TestSettingsChecked(t *testing.T) {
	var tr trace
	manifest, err := site.Parse([]byte(fullConfiguration))
	if err != nil {
		t.Fatal(err)
	}
	tr.add("whole: loads %v, streams allowed on a connection %d, used %v", manifest.LoadFields(), manifest.StreamsPerConnection, manifest.Settings["allowed.multiplex"])
	for _, c := range [][2]string{{`"how":"inline"`, `"how":"off"`}, {`"multiplex":100`, `"multiplex":0`}, {`"multiplex":100`, `"multiplex":"100"`},
		{`"multiplex":100`, `"multiplex":1.5`}, {`"how":"inline"`, `"how":"answers"`}, {`"err_ps","concurrent"`, `"eps"`},
		{`"err_ps","concurrent"`, `"tps","depth","mean_ms","err_ps","concurrent"`},
		{`"connection":0.03`, `"connection":-1`}, {`"may_duplicate":true`, `"may_duplicate":"yes"`}, {`"me":1`, `"me":4`},
		{`"my_zone":0`, `"my_zone":1`}, {`"value":1`, `"value":null`}, {`"group":"all"`, `"group":"both"`},
		{`"quota_per_s":9`, `"quota_per_s":-9`}, {`"balancers":4`, `"balancers":0`}, {`"target_latency_us":400000`, `"target_latency_us":0`},
		{`,"telemetry":{"how":"inline","fields":["err_ps","concurrent"]},"tariffs":{"connection":0.03,"handshake":0}`, ""}} {
		text := strings.Replace(strings.ReplaceAll(fullConfiguration, "\n", ""), c[0], c[1], 1)
		manifest, err := site.Parse([]byte(text))
		if err == nil {
			tr.add("%s: loads %v", c[1], manifest.LoadFields())
		} else if line := err.Error(); regexp.MustCompile("\n").MatchString(line) {
			t.Errorf("the error has more than one line: %q", line)
		} else {
			tr.add("%s", line)
		}
	}
	tr.compare(t, `
whole: loads [err_ps concurrent], streams allowed on a connection 100, used 1
"how":"off": loads []
settings: allowed.multiplex: 0 is no whole number from 1
settings: allowed.multiplex: 100 is no number
settings: allowed.multiplex: 1.5 is no whole number from 1
settings: telemetry.how: answers is none of [inline off on_probe]
settings: telemetry.fields.0: eps is none of [concurrent depth load_share mean_ms tps err_ps]
settings: telemetry.fields: 5 are more than 4
settings: tariffs.connection: -1 is no number from 0
settings: allowed.may_duplicate: yes is neither true nor false
settings: me: 4 is no number among 4 balancers
settings: my_zone: 1 is no place among 1 azs
settings: path_prefixes.0.value: <nil> is no number
settings: path_prefixes.0.group: both is none of [all cell zone]
settings: realms.0.quota_per_s: -9 is no number from 0
settings: balancers: 0 is no whole number from 1
settings: path_prefixes.0.target_latency_us: 0 is no number from 1
: loads []
`)
}
