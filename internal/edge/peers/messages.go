package peers

import (
	"time"

	"corianderhitch/internal/edge/loadbook"
)

// News is what hosts tell each other.
type News struct {
	Host    string
	Loads   map[string]loadbook.Load // in flight from this host, by incarnation of the target
	Leaving []string                 // incarnations that are surely leaving
}

// VouchArgs asks how fresh the peer's configuration is.
type VouchArgs struct{ Revision int64 }

// VouchReply tells it.
type VouchReply struct {
	Revision int64
	// Age is the time since the peer's configuration was surely the newest, as
	// of a moment after the question arrived.
	Age time.Duration
	Raw []byte // the configuration, if it is newer than the asking host's
}
