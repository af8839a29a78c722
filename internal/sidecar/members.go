package sidecar

import (
	"net/netip"
	"strconv"
	"time"

	"ledgespread/decide/membership"
	"ledgespread/internal/members"
	"ledgespread/internal/peers"
)

// joinMembers has this sidecar be a member, where its extensions say so. What it hears of the others goes to those who tell them things.
func (p *process) joinMembers() (err error) {
	settings := p.Extensions.Membership
	if settings == nil {
		return nil
	}
	b := p.Manifest
	_, longest := b.Timeouts()
	self := members.Self{Name: b.Name, Zone: settings.Zone, Version: p.Version, Number: uint16(b.Figure("me")),
		Senders: max(1, int(b.Figure("balancers"))), Linger: time.Duration(longest) * time.Microsecond, Seed: b.Seed}
	if self.Zone == "" {
		self.Zone = p.zone()
	}
	if p.rollouts != nil {
		self.Rider = p.rollouts
	}
	if p.peers != nil {
		self.Notes, _ = netip.ParseAddrPort(b.PeerListen)
	}
	p.members, err = members.Open(settings, self, p.before != 0, p.membersChanged, p.Log)
	return err
}

// zone is the name of this sidecar's zone by the settings.
func (p *process) zone() string {
	mine := "azs." + strconv.Itoa(int(p.Manifest.Figure("my_zone")))
	if name, _ := p.Manifest.Site[mine].(string); name != "" {
		return name
	}
	name, _ := p.Manifest.Site[mine+".name"].(string)
	return name
}

// membersChanged hears of all members, and of how many may be sending.
func (p *process) membersChanged(all []membership.Member, senders int) {
	p.relay.Senders(senders)
	if p.peers != nil {
		p.peers.Follow(peers.Living(all))
	}
}

// leaveMembers tells the others that this process ends. A new process of this sidecar takes the name over, and the address.
func (p *process) leaveMembers() {
	switch {
	case p.members == nil:
	case p.replaced():
		p.members.Hand()
	default:
		p.members.Leave()
	}
}
