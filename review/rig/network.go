package rig

import (
	"net"
	"time"
)

// Way is a network path to an address: what is sent on it arrives later by the same time in both directions, in
// order and whole.
type Way struct {
	Address string

	to    string
	delay time.Duration
}

// piece is what was read at once, and when.
type piece struct {
	bytes []byte
	at    time.Time
	err   error
}

// NewWay opens a way to an address.
func NewWay(ip, to string, delay time.Duration) (*Way, error) {
	listener, err := net.Listen("tcp", ip+":0")
	if err != nil {
		return nil, err
	}
	w := &Way{Address: listener.Addr().String(), to: to, delay: delay}
	go func() {
		for {
			near, err := listener.Accept()
			if err != nil {
				return
			}
			go w.carry(near)
		}
	}()
	return w, nil
}

func (w *Way) carry(near net.Conn) {
	far, err := net.DialTimeout("tcp", w.to, 2*time.Second)
	if err != nil {
		reset(near)
		return
	}
	go w.pump(near, far)
	w.pump(far, near)
}

// pump carries one direction. The end of the stream arrives as late as the bytes do.
func (w *Way) pump(from, to net.Conn) {
	pieces := make(chan piece, 1024)
	go func() {
		for {
			buffer := make([]byte, 16<<10)
			n, err := from.Read(buffer)
			pieces <- piece{buffer[:n], time.Now(), err}
			if err != nil {
				return
			}
		}
	}()
	for p := range pieces {
		sleepUntil(p.at.Add(w.delay))
		if len(p.bytes) > 0 {
			if _, err := to.Write(p.bytes); err != nil {
				from.Close()
				to.Close()
				return
			}
		}
		if p.err != nil {
			to.(*net.TCPConn).CloseWrite()
			time.AfterFunc(10*time.Second, func() { to.Close() })
			return
		}
	}
}

// sleepUntil sleeps until shortly before a time and then yields until it has come.
func sleepUntil(at time.Time) { time.Sleep(time.Until(at)) }
