// Package keepers replicates a sequence of failover plans over a few sidecars, the keepers, with the Raft
// implementation of go.etcd.io/raft/v3. It does no I/O: the caller passes in messages and clock ticks, and a
// replica sends, saves and publishes through Ports.
package keepers
