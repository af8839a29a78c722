// Package rollout implements the canary rollout of configurations to all members. A Node decides for one
// member which configuration to download and to put in force, whether the member is a canary, and when the
// canaries' results allow all others to follow. The package does no I/O and reads no clock: the caller passes
// in the time, other members' messages and the results of actions, and the Node acts through Ports. Its
// messages travel on those of package membership. See docs/rollout.md for the design.
//
// The number in force never decreases. If two contents have the same number, members that know of both apply
// neither. A member applies only content that it has completely downloaded, validated and saved. Rank, a hash
// of number and member name, selects the canaries. A canary announces its trial before it applies the
// configuration, and reports the verdict afterwards. The other members apply the configuration once enough
// canaries found it no worse, and never after a verdict Worse or Refused.
package rollout
