package internal_test

import (
	"io"
	"strings"
	"testing"

	"github.com/rs/zerolog"

	"ledgespread/internal/counters"
	"ledgespread/internal/exchange"
)

// The goroutine that makes the decisions is late when a request's client timeout passes, as on a busy machine. The
// request is answered in time all the same; that is counted as overdue, and not as a fault of the sidecar.
func TestLateRelayIsNoFault(t *testing.T) {
	var tr trace
	var log slowLog
	server := startFakeServer(t, func(_ int, path string) string {
		if strings.HasSuffix(path, "/pay") {
			return "silence"
		}
		return okResponse
	})
	r, address, counts := startSidecarWithLog(t, parseConfiguration(t, withLongTimeouts(entryFor(server))), 9, zerolog.New(&log))
	client := dial(t, address)
	io.WriteString(client, "POST /pay HTTP/1.1\r\n"+strings.Replace(longTimeoutFields, "30000m", "300m", 1)+"Content-Length: 1\r\n\r\nx")
	waitUntil(t, "the request is at the server", func() bool { return server.requestCount() == 1 })
	invalid := exchange.New() // its class causes a panic, which is a fault, and the log pauses the goroutine
	invalid.Class, invalid.TimeLeft = 99, second
	r.HandleRequest(invalid)
	tr.add("answer: %s", client.readAnswer())
	tr.add("overdue %d", counts[counters.RequestsTimedOut].Load())
	tr.add("next request: %s", client.roundTrip("GET /look HTTP/1.1\r\n"+longTimeoutFields+"\r\n"))
	tr.add("faults beside the panic: %d", counts[counters.Faults].Load()-1)
	tr.compare(t, `
answer: 504 "no answer in time"
overdue 1
next request: 200 "hi"
faults beside the panic: 0
`)
}
