package rollouts

import "ledgespread/decide/membership"

// nobody is a group without members.
type nobody struct{}

func (nobody) Turn(call func(membership.Micros)) { call(1) }
func (nobody) Tell(membership.Name)              {}
func (nobody) Spread(int)                        {}
func (nobody) Living(func(membership.Name))      {}
func (nobody) Ask(_ membership.Name, _ membership.Address, _ []byte, _ int, done func([]byte, error)) {
}
