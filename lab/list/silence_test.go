package list

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"testing"
	"time"

	"ledgespread/lab/clock"
	"ledgespread/lab/trace"
)

// Connections that fall silent, all open ones and those that are opened for a time, or all soon after a held call, get
// no answer any more; later ones do.
func TestSilentConnections(t *testing.T) {
	var actual trace.Trace
	service := New(clock.Start())
	defer service.Close()
	service.Set(Host{Name: "b0", Health: "in_service", Dial: func(string) string { return "" }}, 0)
	address, err := service.Address("n0")
	if err != nil {
		t.Fatal(err)
	}
	newClient := func() *http.Client {
		client := &http.Client{Transport: &http.Transport{DialContext: (&net.Dialer{}).DialContext}, Timeout: time.Second}
		t.Cleanup(client.CloseIdleConnections)
		return client
	}
	ask := func(client *http.Client, query string) string {
		response, err := client.Get("http://" + address + "/api/targets" + query)
		if err != nil {
			return "no answer"
		}
		defer response.Body.Close()
		io.Copy(io.Discard, response.Body)
		return fmt.Sprint(response.StatusCode)
	}
	before, meanwhile := newClient(), newClient()
	actual.AddLine("before: %s", ask(before, ""))
	service.SilenceConnections(1, 300*time.Millisecond, 0)
	actual.AddLine("a new connection meanwhile: %s", ask(meanwhile, ""))
	actual.AddLine("the open one: %s", ask(before, ""))
	after := newClient()
	actual.AddLine("a new one afterwards: %s", ask(after, ""))
	service.SilenceAfterHeldCall()
	actual.AddLine("a call without a hold: %s", ask(after, "?from=1&hold_ms=0"))
	actual.AddLine("a held one: %s", ask(after, "?from=1&hold_ms=500"))
	actual.AddLine("a new connection: %s", ask(newClient(), "?from=1&hold_ms=10"))
	actual.AssertMatchesFile(t)
}
