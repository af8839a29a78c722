package main

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"path/filepath"
	"strings"
	"sync/atomic"
	"testing"
	"time"
)

// While discovery is out of reach a new version starts beside the old one, which was told that a server drains. The new one
// knows it too, although the list that it was configured with has the server in service. A list that can't be read, or that
// belongs to another address of discovery, is passed over.
func TestNewVersionKnowsWhatTheOldOneWasTold(t *testing.T) {
	for _, c := range []struct {
		name   string
		change func(text string) string // of the file that hands the list over
		knows  bool
	}{
		{"handed over", func(text string) string { return text }, true},
		{"torn", func(text string) string { return text[:len(text)/2] }, false},
		{"of another address", func(text string) string { return strings.Replace(text, `"discovery":"`, `"discovery":"9`, 1) }, false},
		{"older than the saved one", func(text string) string { return strings.Replace(text, `"seq":8`, `"seq":6`, 1) }, false},
	} {
		t.Run(c.name, func(t *testing.T) {
			var requests [2]atomic.Int64
			entries := [2][]string{}
			for i := range requests {
				ln, err := net.Listen("tcp", "127.0.0.1:0")
				if err != nil {
					t.Fatal(err)
				}
				t.Cleanup(func() { ln.Close() })
				go http.Serve(ln, http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
					requests[i].Add(1)
					io.WriteString(w, "done")
				}))
				for state, health := range []string{"in_service", "terminating"} {
					if i == 0 {
						health = "in_service"
					}
					entries[state] = append(entries[state], fmt.Sprintf(`{"host":"s%d","dial":"%s","site":"here","class":"m","block":0,"health":"%s","share":1,"born_ms":0}`, i, ln.Addr(), health))
				}
			}
			processes := newUpgrade(t, entries[0])
			drains := make(chan struct{})
			ln, err := net.Listen("tcp", "127.0.0.1:0")
			if err != nil {
				t.Fatal(err)
			}
			t.Cleanup(func() { ln.Close() })
			processes.discovery = ln.Addr().String()
			go http.Serve(ln, http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
				from, silent := r.URL.Query().Get("from"), processes.silent.Load()
				switch {
				case silent || from == "8":
					<-r.Context().Done()
				case from == "7" && r.URL.Query().Get("hold_ms") > "0":
					select {
					case <-drains:
						fmt.Fprintf(w, `{"seq":8,"whole":false,"hosts":[%s]}`, entries[1][1])
					case <-r.Context().Done():
					}
				default:
					fmt.Fprintf(w, `{"seq":7,"whole":true,"hosts":[%s]}`, strings.Join(entries[0], ","))
				}
			}))
			stopOld, _, _ := processes.start(t, "old")
			close(drains)
			file := ""
			eventually(t, "the old process hands over the list", func() bool {
				for _, match := range globList(processes.folder) {
					text, err := os.ReadFile(match)
					if file = match; err == nil && strings.Contains(string(text), "terminating") {
						return true
					}
				}
				return false
			})
			processes.silent.Store(true)
			text, err := os.ReadFile(file)
			if err != nil {
				t.Fatal(err)
			}
			if err := os.WriteFile(file, []byte(c.change(string(text))), 0o600); err != nil {
				t.Fatal(err)
			}
			stopNew, _, log := processes.start(t, "new")
			if err := stopOld(); err != nil {
				t.Error(err)
			}
			before := requests[1].Load()
			for i := range 40 {
				request, _ := http.NewRequest("GET", "http://"+processes.listen+"/look/x", nil)
				request.Header.Set("X-Request-ID", fmt.Sprint("handed", i))
				request.Header.Set("X-Timeout", "500m")
				resp, err := http.DefaultClient.Do(request)
				if err != nil {
					t.Fatal(err)
				}
				resp.Body.Close()
				time.Sleep(time.Millisecond)
			}
			if got := requests[1].Load() - before; (got == 0) != c.knows {
				t.Errorf("%d requests to the server that drains", got)
			}
			if logged := strings.Contains(log.text(), "the old process handed over its list"); logged != c.knows {
				t.Errorf("log:\n%s", log.text())
			}
			if err := stopNew(); err != nil {
				t.Error(err)
			}
		})
	}
}

// globList returns the files that hand a list over.
func globList(folder string) []string {
	matches, _ := filepath.Glob(filepath.Join(folder, "*.list"))
	return matches
}
