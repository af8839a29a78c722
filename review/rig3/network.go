package rig3

import (
	"net"
	"runtime"
	"time"
)

// Delay starts a proxy before an address, which takes this long one way, in both directions, and returns its address.
func (c *Case) Delay(to string, oneWay time.Duration) string {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		c.Impossible("proxy: %v", err)
	}
	go func() {
		for {
			near, err := ln.Accept()
			if err != nil {
				return
			}
			far, err := net.Dial("tcp", to)
			if err != nil {
				near.Close()
				continue
			}
			go carry(near, far, oneWay)
			go carry(far, near, oneWay)
		}
	}()
	return ln.Addr().String()
}

type portion struct {
	bytes []byte
	due   time.Time
}

// carry passes on what comes, in order and each portion so much later, and then the end.
func carry(from, to net.Conn, oneWay time.Duration) {
	portions := make(chan portion, 256)
	go func() {
		defer close(portions)
		for {
			buffer := make([]byte, 16<<10)
			n, err := from.Read(buffer)
			if n > 0 {
				portions <- portion{buffer[:n], time.Now().Add(oneWay)}
			}
			if err != nil {
				return
			}
		}
	}()
	for p := range portions {
		for time.Now().Before(p.due) { // a sleep would be a millisecond at least
			runtime.Gosched()
		}
		to.Write(p.bytes)
	}
	to.Close()
}
