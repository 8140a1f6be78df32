package engine

import (
	"context"
	"log/slog"
	"os"
	"time"

	"corianderhitch/internal/logging"
	"corianderhitch/internal/platform"
	"corianderhitch/internal/standin/journal"
	"corianderhitch/internal/standin/process"
)

const (
	// crashCode and reclaimCode are the exit codes of an engine that ends by
	// itself.
	crashCode   = 70
	reclaimCode = 0
	// shutdownGrace lets the streams of ended generations be written out.
	shutdownGrace = 2 * time.Second
	// drainPoll is the time between looks at running generations during a drain.
	drainPoll = 20 * time.Millisecond
)

// Run serves a new engine until ctx ends and its generations have ended. A crash
// or reclaim ends the process.
func Run(ctx context.Context, s Settings, log *slog.Logger) error {
	log = logging.WithPrefix(log, "engine").With("engine", s.Name)
	config, err := s.config()
	if err != nil {
		return err
	}
	entries, err := journal.Open[Entry](s.Journal)
	if err != nil {
		return err
	}
	defer func() { _ = entries.Close() }()
	web, err := process.Listen(s.Listen, log)
	if err != nil {
		return err
	}
	registration, err := process.Register(s.Register, target(s, web.Address()), log)
	if err != nil {
		return err
	}
	server := New(Options{
		Model:     config,
		Retention: s.Retention,
		Journal:   entries,
		OnEnd:     exit(registration, log),
		OnLeaving: registration.SetLeaving,
		Log:       log,
	})
	defer registration.Remove()
	running, stop := context.WithCancel(context.Background())
	stopped := make(chan struct{})
	go func() {
		defer close(stopped)
		server.Run(running)
	}()
	defer func() {
		stop()
		<-stopped
	}()
	return web.Run(ctx, server.Handler(), func() {
		registration.SetLeaving(true)
		server.drain(s.Drain)
	}, shutdownGrace)
}

func target(s Settings, address string) platform.Target {
	return platform.Target{Name: s.Name, Address: address, Domain: s.Domain, Region: s.Region, Kind: platform.TargetEngine}
}

// exit returns what ends the process at once. The platform takes a reclaimed
// engine off its list, but does not learn of a crash.
func exit(registration *process.Registration, log *slog.Logger) func(End) {
	return func(end End) {
		log.Error("ended", "reason", string(end))
		if end == EndCrashed {
			os.Exit(crashCode)
		}
		registration.Remove()
		os.Exit(reclaimCode)
	}
}

// drain refuses new generations and waits until the running ones have ended.
func (s *Server) drain(limit time.Duration) {
	s.mu.Lock()
	s.model.SetLeaving(time.Now(), true)
	s.mu.Unlock()
	deadline := time.Now().Add(limit)
	for s.busy() && time.Now().Before(deadline) {
		time.Sleep(drainPoll)
	}
}
