package inbound

import (
	"io"
	"strings"
	"testing"
	"time"

	"github.com/valyala/fasthttp"

	"ledgespread/internal/exchange"
)

// arrivalRecorder records the deadlines of bodies that have arrived.
type arrivalRecorder struct{ deadlines []time.Time }

func (r *arrivalRecorder) HandleRequest(*exchange.Exchange) {}
func (r *arrivalRecorder) BodyArrived(_ *exchange.Exchange, deadline time.Time) {
	r.deadlines = append(r.deadlines, deadline)
}
func (r *arrivalRecorder) RequestEnded(*exchange.Exchange)    {}
func (r *arrivalRecorder) RequestTimedOut(*exchange.Exchange) {}

// The last byte of a body may be read while it is looked for: the relay is told all the same, and the client's time begins.
func TestLastByteIsReadWhileItIsLookedFor(t *testing.T) {
	var told arrivalRecorder
	in := &Inbound{requests: &told, stopExpired: make(chan struct{})}
	in.uploadTicker.intervalNanos.Store(int64(time.Millisecond))
	request := exchange.New()
	request.ClientGone = func() bool { return false }
	looked := 0
	body := strings.NewReader("x")
	request.Upload = exchange.NewUpload(exchange.UploadSource{Body: body, Arrived: func() int {
		if looked++; looked == 2 { // the first time is by NewUpload
			io.ReadAll(request.Upload)
		}
		return 1
	}, Interrupt: func(bool) {}}, 500_000)
	began := time.Now().Add(-time.Hour)
	w := &wait{in: in, header: &fasthttp.RequestHeader{}, request: request, began: began, timeout: time.Hour}
	if end := w.forBody(); end != bodyRead {
		t.Fatalf("the wait for the body ended with %d", end)
	}
	if len(told.deadlines) != 1 {
		t.Errorf("the relay was told %d times that the body has arrived", len(told.deadlines))
	}
	if w.timeout != request.Upload.ClientTimeout || w.began.Equal(began) {
		t.Errorf("the client's time began at %v and lasts %v", w.began, w.timeout)
	}
}
