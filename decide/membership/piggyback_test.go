package membership_test

import (
	"bytes"
	"fmt"
	"testing"

	"ledgespread/decide/membership"
)

// Words ride on all messages, none of which gets too long; they come to all; what membership claims holds with them, and a member that
// has none passes them over.
func TestPiggyback(t *testing.T) {
	const many, size = 30, 89
	var known []Micros
	for seed := range uint64(10) {
		s := begin(seed+1, many)
		heard := map[string]bool{}
		for i, m := range s.Members {
			if i == 7 {
				continue
			}
			word := bytes.Repeat([]byte{byte(i)}, size)
			m.Piggyback(func(room int) []byte {
				if room < size {
					return nil
				}
				return word
			}, func(from membership.Name, _ membership.Address, word []byte) {
				if len(word) != size || from != membership.Name(fmt.Sprint("n", word[0])) {
					t.Fatalf("n%d heard %x of %s", i, word, from)
				}
				heard[fmt.Sprint(i, " of ", from)] = true
			})
		}
		longest := 0
		s.Tap = func(msg []byte) { longest = max(longest, len(msg)) }
		s.Run(40 * second)
		if want := (many - 1) * (many - 2); len(heard) != want || longest > membership.Longest {
			t.Errorf("%d of %d heard, the longest message has %d bytes", len(heard), want, longest)
		}
		s.Members[3].Kill()
		known = append(known, s.Until(20*second, s.all("n3", membership.Dead)))
		if len(s.deaths) != 1 {
			t.Error(s.dead())
		}
	}
	for _, span := range known {
		if span < 0 || span > 3*second {
			t.Errorf("a death was known after %v", known)
		}
	}
}
