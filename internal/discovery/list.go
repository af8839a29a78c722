package discovery

import (
	"encoding/json"
	"errors"
	"fmt"
	"hash/fnv"
	"math"
	"net/netip"

	"ledgespread/brain"
)

// Line takes one line of a list.
type Line func(id brain.Backend, host, address string, zone brain.Zone, cell brain.Cell, st brain.Standing,
	rating float64, started brain.Micros)

var standings = map[string]brain.Standing{"in_service": brain.Ready, "terminating": brain.Draining,
	"terminated": brain.Gone}

// List is an answer of discovery, read and found whole. Its lines wait to be told.
type List struct {
	Version uint64
	Whole   bool
	lines   []func(Line)
}

// Lines tells them one after another.
func (l *List) Lines(tell Line) {
	for _, line := range l.lines {
		line(tell)
	}
}

// Empty tells whether nothing stands in it.
func (l *List) Empty() bool { return len(l.lines) == 0 }

// field takes a value out of an answer; a missing or odd one ends the reading, see Read.
func field[T any](from map[string]any, name string) T {
	x, ok := from[name].(T)
	if !ok {
		panic(fmt.Errorf("%s is missing or malformed", name))
	}
	return x
}

func whole(from map[string]any, name string) uint64 {
	n := field[float64](from, name)
	if n < 0 || n > 1<<53 || n != math.Trunc(n) {
		panic(fmt.Errorf("%s is no whole number", name))
	}
	return uint64(n)
}

// ID is a server's id, the same at every sidecar: its name, hashed to the 48 bits of a message.
func ID(host string) brain.Backend {
	h := fnv.New64a()
	h.Write([]byte(host))
	return brain.Backend((h.Sum64() ^ h.Sum64()>>48) & (1<<48 - 1))
}

// Read takes an answer apart. Guards against half a list: one odd line refuses it all.
func Read(text []byte, zones map[string]int) (list *List, err error) {
	defer func() {
		if odd, ok := recover().(error); ok {
			list, err = nil, odd
		}
	}()
	var answer map[string]any
	if err := json.Unmarshal(text, &answer); err != nil {
		return nil, err
	}
	list = &List{Version: whole(answer, "seq"), Whole: field[bool](answer, "whole")}
	seen := map[brain.Backend]string{}
	for _, h := range field[[]any](answer, "hosts") {
		host, ok := h.(map[string]any)
		if !ok {
			return nil, errors.New("hosts holds something that is no server")
		}
		name := field[string](host, "host")
		id, address := ID(name), field[string](host, "dial")
		if other, there := seen[id]; there && other != name {
			return nil, fmt.Errorf("%s and %s share an id", name, other)
		}
		seen[id] = name
		if _, err := netip.ParseAddrPort(address); err != nil {
			return nil, err
		}
		zone, known := zones[field[string](host, "site")]
		standing, valid := standings[field[string](host, "health")]
		if !known || !valid {
			return nil, fmt.Errorf("%s has an unknown site or health", name)
		}
		cell, share, born := whole(host, "block"), field[float64](host, "share"), field[float64](host, "born_ms")
		list.lines = append(list.lines, func(tell Line) {
			tell(id, name, address, brain.Zone(zone), brain.Cell(cell), standing, share, brain.Micros(born*1000))
		})
	}
	return list, nil
}
