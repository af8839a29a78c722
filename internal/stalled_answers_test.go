package internal_test

import (
	"fmt"
	"io"
	"net/http"
	"testing"
	"time"
)

// A long answer was cut off after 5 s without data, though a way may be cut for 6 s and the server went on afterwards.
func TestLongAnswerOutlastsCutWay(t *testing.T) {
	t.Parallel()
	const (
		size   = 200_000
		cutFor = 6 * time.Second
	)
	_, address, _ := startSidecarForHandler(t, func(w http.ResponseWriter, _ *http.Request) {
		w.Write(make([]byte, size/2))
		w.(http.Flusher).Flush()
		time.Sleep(cutFor + cutFor/4)
		w.Write(make([]byte, size/2))
	})
	c := dial(t, address)
	fmt.Fprint(c, "GET /look HTTP/1.1\r\n"+requestFields+"\r\n")
	answer, err := http.ReadResponse(c.in, nil)
	if err != nil {
		t.Fatal(err)
	}
	if body, err := io.ReadAll(answer.Body); len(body) != size || err != nil {
		t.Errorf("%d bytes of %d, %v", len(body), size, err)
	}
}

// The client of a long answer leaves while the server is silent. Its connection, and that to the server, were kept until
// the server went on or was given up.
func TestClientLeavesDuringStalledAnswer(t *testing.T) {
	t.Parallel()
	const sentFirst = 100_000
	left := make(chan time.Time, 1)
	in, address, _ := startSidecarForHandler(t, func(w http.ResponseWriter, r *http.Request) {
		w.Write(make([]byte, sentFirst))
		w.(http.Flusher).Flush()
		<-r.Context().Done()
		left <- time.Now()
	})
	c := dial(t, address)
	fmt.Fprint(c, "GET /look HTTP/1.1\r\n"+requestFields+"\r\n")
	answer, err := http.ReadResponse(c.in, nil)
	if err == nil {
		_, err = io.ReadFull(answer.Body, make([]byte, sentFirst))
	}
	if err != nil {
		t.Fatal(err)
	}
	c.Close()
	closed := time.Now()
	if took := (<-left).Sub(closed); took > 3*time.Second {
		t.Errorf("the server's connection is closed only %v later", took)
	}
	waitUntilIdle(in)
}
