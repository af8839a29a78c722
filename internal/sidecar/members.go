package sidecar

import (
	"net/netip"
	"strconv"
	"time"

	"ledgespread/decide/membership"
	"ledgespread/internal/members"
	"ledgespread/internal/peers"
)

// joinMembers joins the group of members, if the extensions enable it. Changes of the members are passed to
// the relay and the peers.
func (p *process) joinMembers() (err error) {
	settings := p.Extensions.Membership
	if settings == nil {
		return nil
	}
	manifest := p.Manifest
	_, longest := manifest.ClientTimeouts()
	self := members.Config{Name: manifest.Name, Zone: settings.Zone, Version: p.Version, Number: uint16(manifest.Number("me")),
		Senders: max(1, int(manifest.Number("balancers"))), LongestClientTimeout: time.Duration(longest) * time.Microsecond, Seed: manifest.Seed}
	if self.Zone == "" {
		self.Zone = p.zoneName()
	}
	if p.rollouts != nil {
		self.Delegate = p.rollouts
	}
	if p.peers != nil {
		self.MessageAddress, _ = netip.ParseAddrPort(manifest.PeerListen)
	}
	p.members, err = members.Open(settings, self, p.hasPredecessor(), p.membersChanged, p.Log)
	return err
}

// zoneName returns the name of this sidecar's zone in the settings.
func (p *process) zoneName() string {
	setting := "azs." + strconv.Itoa(int(p.Manifest.Number("my_zone")))
	if name, _ := p.Manifest.Settings[setting].(string); name != "" {
		return name
	}
	name, _ := p.Manifest.Settings[setting+".name"].(string)
	return name
}

// membersChanged receives the list of all members, and how many of them may be sending requests.
func (p *process) membersChanged(all []membership.Member, senders int) {
	p.relay.SetSenders(senders)
	if p.peers != nil {
		p.peers.SetPeers(peers.LiveAddresses(all))
	}
}

// leaveMembers announces that this process ends. If a new process of this sidecar has taken over, it keeps
// the name and the address.
func (p *process) leaveMembers() {
	switch {
	case p.members == nil:
	case p.replaced():
		p.members.CloseForHandover()
	default:
		p.members.Leave()
	}
}
