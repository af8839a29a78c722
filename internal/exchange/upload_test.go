package exchange

import (
	"io"
	"sync"
	"testing"

	"ledgespread/brain"
)

type readerFunc func([]byte) (int, error)

func (f readerFunc) Read(p []byte) (int, error) { return f(p) }

// A read that Stop interrupts is no error of the client: a request that a stop ended was answered as a message that
// its client had sent too slowly.
func TestStoppedUploadHasNoClientError(t *testing.T) {
	reads, interrupted := make(chan bool), make(chan bool)
	interrupt := sync.OnceFunc(func() { close(interrupted) })
	body := readerFunc(func([]byte) (int, error) {
		reads <- true
		<-interrupted
		return 0, io.ErrNoProgress
	})
	upload := NewUpload(UploadSource{Body: body, Interrupt: func(finished bool) {
		if !finished {
			interrupt()
		}
	}}, brain.Micros(2_000_000))
	go upload.Read(make([]byte, 1))
	<-reads
	if upload.Stop() || upload.ClientErr() != nil || !upload.Abandoned() {
		t.Errorf("client error %v, abandoned %v", upload.ClientErr(), upload.Abandoned())
	}
}
