package store

import (
	"context"
	"log/slog"
	"time"

	"corianderhitch/internal/logging"
	"corianderhitch/internal/platform/memstore"
	"corianderhitch/internal/standin/process"
)

// shutdownGrace is short because watches stay open for a long time.
const shutdownGrace = time.Second

// Settings are the flags of "standin store".
type Settings struct {
	process.Common
	ReadRate    float64       `flag:"read-rate" default:"2000" usage:"reads a second that the store accepts, 0 for any number" validate:"min=0"`
	WriteRate   float64       `flag:"write-rate" default:"400" usage:"writes a second that the store accepts, 0 for any number" validate:"min=0"`
	PollLimit   time.Duration `flag:"poll-limit" default:"30s" usage:"longest wait of a watch without events" validate:"min=10ms"`
	HostListLag time.Duration `flag:"host-list-lag" default:"0s" usage:"delay until a change of the host list is seen" validate:"min=0"`
	Seed        int           `flag:"seed" default:"1" usage:"seed of random faults" validate:"min=0"`
}

// Run serves a new, empty store until ctx is done.
func Run(ctx context.Context, s Settings, log *slog.Logger) error {
	log = logging.WithPrefix(log, "store")
	store := memstore.New(memstore.Options{
		PollLimit:       s.PollLimit,
		ReadsPerSecond:  s.ReadRate,
		WritesPerSecond: s.WriteRate,
		Seed:            uint64(s.Seed),
	})
	store.SetFault(memstore.Fault{HostListLag: s.HostListLag})
	server, err := process.Listen(s.Listen, log)
	if err != nil {
		return err
	}
	return server.Run(ctx, New(store).Handler(), func() {}, shutdownGrace)
}
