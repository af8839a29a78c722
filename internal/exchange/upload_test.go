package exchange

import (
	"io"
	"sync"
	"testing"
	"time"

	"ledgespread/brain"
)

// fakeSource is a body that arrives and is read as a test says.
type fakeSource struct {
	arrived int
	reads   chan error // what the reads return, with one byte each
}

func newFakeUpload(messageSize int) (*fakeSource, *Upload) {
	source := &fakeSource{reads: make(chan error)}
	return source, NewUpload(UploadSource{Body: source, MessageSize: messageSize, Arrived: func() int { return source.arrived },
		Interrupt: func(bool) {}}, brain.Micros(2_000_000))
}

func (s *fakeSource) Read([]byte) (int, error) { return 1, <-s.reads }

// The client timeout of a body counts from the last poll before its last byte arrived, although nothing of it is
// read: counted from the read of the last byte, it was too long by the time for which the body waited in the socket.
func TestUploadDeadlineCountsFromArrival(t *testing.T) {
	type poll struct {
		arrived  int
		timeLeft time.Duration
	}
	for _, test := range []struct {
		name        string
		messageSize int
		polls       []poll // one each second
	}{
		{"with a length", 300, []poll{{100, 2 * time.Second}, {200, 2 * time.Second}, {200, time.Second}, {250, 2 * time.Second},
			{300, time.Second}, {300, 0}, {400, -time.Second}}},
		{"in chunks", 0, []poll{{100, 2 * time.Second}, {200, 2 * time.Second}, {200, time.Second}, {250, 2 * time.Second},
			{300, 2 * time.Second}, {300, time.Second}, {300, 0}}},
	} {
		source, upload := newFakeUpload(test.messageSize)
		at := time.Now()
		for i, poll := range test.polls {
			source.arrived = poll.arrived
			upload.Observe(at)
			if timeLeft := upload.Deadline().Sub(at); timeLeft != poll.timeLeft {
				t.Errorf("%s, poll %d: %v left, want %v", test.name, i, timeLeft, poll.timeLeft)
			}
			if want := test.messageSize > 0 && poll.arrived >= test.messageSize; upload.Arrived() != want {
				t.Errorf("%s, poll %d: arrived %v", test.name, i, upload.Arrived())
			}
			at = at.Add(time.Second)
		}
	}
}

// While a read waits for the client, the last byte can't have arrived, however long that takes. Once it has been
// read, the client timeout counts from the last poll before.
func TestUploadDeadlineWhileReadWaits(t *testing.T) {
	source, upload := newFakeUpload(0)
	read := make(chan error)
	go func() {
		_, err := upload.Read(make([]byte, 1))
		read <- err
	}()
	for !upload.reading.Load() {
		time.Sleep(time.Millisecond)
	}
	at := time.Now()
	for range 5 {
		at = at.Add(time.Second)
		upload.Observe(at)
		if timeLeft := upload.Deadline().Sub(at); timeLeft != 2*time.Second || upload.Arrived() {
			t.Errorf("%v left, arrived %v", timeLeft, upload.Arrived())
		}
	}
	source.reads <- io.EOF
	if err := <-read; err != io.EOF {
		t.Error(err)
	}
	upload.Observe(at.Add(time.Second))
	if timeLeft := upload.Deadline().Sub(at); timeLeft != 2*time.Second || !upload.Arrived() || !upload.Stop() {
		t.Errorf("%v left after the last byte, arrived %v", timeLeft, upload.Arrived())
	}
}

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
	upload := NewUpload(UploadSource{Body: body, Arrived: func() int { return 0 }, Interrupt: func(finished bool) {
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

// While a client fills its sockets, further bytes don't show that it was still writing; more of them than its own socket
// can hold do. The client timeout moved on with each byte, long after the client had written the last one.
func TestUploadDeadlineOfBackloggedClient(t *testing.T) {
	const timeout = 2 * time.Second
	source := &fakeSource{}
	backlogged := true
	begin := time.Now()
	upload := NewUpload(UploadSource{Body: source, Arrived: func() int { return source.arrived }, Backlogged: func() bool { return backlogged },
		Interrupt: func(bool) {}}, brain.Micros(timeout/time.Microsecond))
	upload.Observe(begin)
	for second, poll := range []struct {
		arrived    int
		backlogged bool
		seconds    int // counted from the beginning, at which the client was surely still writing
	}{{1 << 20, true, 0}, {2 << 20, true, 0}, {4 << 20, true, 0}, {5 << 20, true, 0}, {6 << 20, true, 1}, {7 << 20, true, 2}, {8 << 20, false, 7}, {8 << 20, false, 7}} {
		source.arrived, backlogged = poll.arrived, poll.backlogged
		upload.Observe(begin.Add(time.Duration(second+1) * time.Second))
		want := time.Duration(poll.seconds)*time.Second + timeout
		if poll.backlogged {
			want += assumptionGrace
		}
		if got := upload.Deadline().Sub(begin).Round(time.Millisecond); got != want {
			t.Errorf("after %d s: the deadline is at %v, want %v", second+1, got, want)
		}
	}
}
