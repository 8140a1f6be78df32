package control

import "time"

// HoldsArgs asks an edge host what it holds back (method Peer.Holds).
type HoldsArgs struct{}

// HoldsReply lists what a host holds back.
type HoldsReply struct {
	Host  string
	Holds []Hold
}

// Hold is a part of prompts or a request that is held back because targets crashed under it.
type Hold struct {
	Key      string        // "part:ID" or "request:ID"
	Left     time.Duration // until it is on probation, negative since then
	Survived bool          // it had survived lately, before the crashes
	Crashes  []Crash       // oldest first
}

// Crash is the crash of a target under a key.
type Crash struct {
	Target string // its incarnation
	Host   string // that had sent the request
	Age    time.Duration
}

// ReleaseArgs names the key that an operator releases on all hosts (method Peer.Release).
type ReleaseArgs struct{ Key string }

// ReleaseReply reports whether the host held the key back.
type ReleaseReply struct{ Released bool }
