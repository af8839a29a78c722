// Command 11: some answers are followed, some milliseconds later, by a second copy, where nothing else waits on the
// connection. Each client has to get the answer made for its request.
package main

import (
	"fmt"
	"math/rand"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"ledgespread/review/rig4"
)

const (
	servers    = 4
	clients    = 12
	runFor     = 90 * time.Second
	timeout    = 750 * time.Millisecond // of the path prefix
	copyEvery  = 5                      // one answer in so many is followed by a copy
	copyAfter  = 4 * time.Millisecond   // at the earliest
	copySpread = 2 * time.Millisecond
)

func main() {
	c := rig4.Open("review/11")
	var answers, copies, delivered, other, foreign atomic.Int64
	handle := func(r *rig4.Request) []byte {
		come := rig4.Arrived(r.Conn)
		time.Sleep(2 * time.Millisecond)
		answer := rig4.OK("made for " + r.ID)
		if answers.Add(1); c.Trouble && rand.Intn(copyEvery) == 0 {
			time.AfterFunc(copyAfter+time.Duration(rand.Int63n(int64(copySpread))), func() {
				if rig4.Arrived(r.Conn) == come { // nothing else waits on the connection, not even unread
					r.Conn.Write(answer)
					copies.Add(1)
				}
			})
		}
		return answer
	}
	var hosts []rig4.Host
	for i := range servers {
		hosts = append(hosts, c.NewServer(fmt.Sprintf("s-%d", i), handle).Host("a"))
	}
	d := c.NewDiscovery(hosts)
	s := c.NewSidecar(rig4.Deployment("n0", c.FreeAddress(), d.Address, d.List()))
	s.Start()
	s.WaitReady()
	var all sync.WaitGroup
	end := time.Now().Add(runFor)
	for number := range clients {
		all.Go(func() {
			var client *rig4.Client
			for i := 0; time.Now().Before(end); i++ {
				time.Sleep(time.Duration(rand.Intn(16_000)) * time.Microsecond)
				if client == nil {
					var err error
					if client, err = rig4.Dial(s.Listen); err != nil {
						c.Cannot("%v", err)
					}
				}
				id := fmt.Sprintf("c%d-%d", number, i)
				answer, err := client.Do(rig4.Get("/lookup/x", id, timeout), 2*time.Second)
				switch {
				case err == nil && answer.Status == http.StatusOK && answer.Body != "made for "+id:
					foreign.Add(1)
					c.Break("the client of %s was answered 200 %q", id, answer.Body)
				case err == nil && answer.Status == http.StatusOK:
					delivered.Add(1)
				default:
					other.Add(1)
					c.Log("%s: %d %v", id, answer.Status, err)
				}
				if err != nil || answer.Closes {
					client.Conn.Close()
					client = nil
				}
			}
		})
	}
	all.Wait()
	c.Log("clients: %d delivered with their own answer, %d with another's, %d other; servers: %d answers, %d copies", delivered.Load(), foreign.Load(), other.Load(),
		answers.Load(), copies.Load())
	c.End()
}
