package rollout

// exchange.go: processes messages of other members, and downloads and serves configuration contents.

// Receive processes a message of another member and returns false if it is malformed.
func (n *Node) Receive(now Micros, from Name, address Address, encoded []byte) bool {
	n.advanceClock(now)
	received, ok := parseMessage(encoded)
	if !ok {
		return false
	}
	newest := &n.newest
	switch {
	case received.Number != newest.Number && !n.isNewer(received.Number, newest.Number):
	case received.Number == newest.Number:
		n.receiveSameNumber(received, from)
	case received.contested:
		n.contestUnheld(received.Version, received.otherDigest, from)
	case received.Number == n.wanted.Number && received.Digest != n.wanted.Digest && n.config.DisabledSafeguard != "no-contest":
		n.contestUnheld(n.wanted.Version, received.Digest, from)
	case received.Number >= n.wanted.Number:
		if received.Number > n.wanted.Number {
			n.wanted = wantedConfig{Version: received.Version, learned: rolloutState{reports: map[Rank]Verdict{}}}
		}
		n.wanted.learned.merge(received)
		if received.hasContent {
			n.addSource(source{from, address})
		}
		n.fetch()
	}
	return true
}

// receiveSameNumber processes a message about the number that is the newest one here.
func (n *Node) receiveSameNumber(received *message, from Name) {
	newest := &n.newest
	if n.config.DisabledSafeguard == "no-contest" && received.Digest != newest.Digest {
		return
	}
	if differs := received.Digest != newest.Digest; (differs || received.contested) && !newest.contested {
		other := received.otherDigest
		if differs {
			other = received.Digest
		}
		n.contest(other, from)
	}
	if newest.contested {
		return
	}
	changed := false
	for _, r := range received.reports {
		changed = n.recordReport(r.Rank, r.Verdict) || changed
	}
	switch {
	case received.stage == Stopped:
		n.stop(from)
	case received.stage == Everywhere && newest.stage == Spreading:
		newest.stage = Everywhere
		n.emit("everywhere", newest.Version, from, "")
		n.announce()
	default:
		if !changed {
			return
		}
	}
	n.evaluate()
}

// isNewer reports whether number a is above b.
func (n *Node) isNewer(a, b Number) bool {
	return a > b || n.config.DisabledSafeguard == "falling" && a != b && a != 0
}

// addSource records a member from which the wanted content can be downloaded.
func (n *Node) addSource(added source) {
	for _, known := range n.wanted.sources {
		if known.name == added.name {
			return
		}
	}
	if len(n.wanted.sources) < maxSources {
		n.wanted.sources = append(n.wanted.sources, added)
	}
}

// fetch downloads the wanted content from a random member that has it, and from a second one too if that takes
// long, since a connection may hang on a lossy or broken network path.
func (n *Node) fetch() {
	wanted := &n.wanted
	if !n.isNewer(wanted.Number, n.newest.Number) || wanted.retryPending || len(wanted.sources) == 0 || wanted.openFetches >= maxConcurrentFetches || wanted.openFetches > 0 && n.now-wanted.lastFetch < n.probeIntervals(hedgeDelay) {
		return
	}
	index := int(n.random() * float64(len(wanted.sources)))
	chosen := wanted.sources[index]
	wanted.sources = append(wanted.sources[:index], wanted.sources[index+1:]...)
	wanted.openFetches++
	wanted.lastFetch = n.now
	n.ports.Fetch(chosen.name, chosen.address, wanted.Version)
}

// FetchDone reports that a content was downloaded and matches its digest. If refused is empty, the content was
// also validated and saved; otherwise refused is the reason why it is invalid.
func (n *Node) FetchDone(now Micros, version Version, policy CanaryPolicy, from Name, refused string) {
	n.advanceClock(now)
	if version.Number == n.wanted.Number {
		n.wanted.openFetches--
	}
	switch {
	case !n.isNewer(version.Number, n.newest.Number):
	case refused != "":
		if n.wanted.Number <= version.Number {
			n.wanted = wantedConfig{}
		}
		n.reject(version, refused)
	default:
		n.setNewest(version, policy, from)
	}
	n.fetch()
}

// FetchFailed reports that a download failed; unfit means that the content did not match its digest.
func (n *Node) FetchFailed(now Micros, version Version, from Name, unfit bool) {
	n.advanceClock(now)
	if unfit {
		n.emit("unfit", version, from, "")
	}
	if version.Number != n.wanted.Number {
		n.fetch()
		return
	}
	n.wanted.openFetches--
	if n.wanted.retryPending {
		return
	}
	n.wanted.retryPending = true
	n.due.Schedule(n.now+n.jitter(n.probeIntervals(fetchRetryDelay)), func() {
		n.wanted.retryPending = false
		n.fetch()
	})
}

// MayServe reports whether this member may serve a content now, and counts the request. The limit keeps a member
// from being overloaded when all others download from it at once.
func (n *Node) MayServe(now Micros, version Version) bool {
	n.advanceClock(now)
	if version != n.newest.Version || !n.newest.hasContent || n.newest.contested {
		return false
	}
	recent := n.servedAt[:0]
	for _, at := range n.servedAt {
		if n.now-at < n.probeIntervals(serveWindow) {
			recent = append(recent, at)
		}
	}
	if n.servedAt = recent; len(recent) >= maxServes && n.config.DisabledSafeguard != "no-bound" {
		return false
	}
	n.servedAt = append(n.servedAt, n.now)
	return true
}
