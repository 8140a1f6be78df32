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
	crashExitCode   = 70
	reclaimExitCode = 0
	// shutdownGrace lets the streams of ended generations be written out.
	shutdownGrace = 2 * time.Second
	// drainPoll is the time between looks at running generations during a drain.
	drainPollInterval = 20 * time.Millisecond
)

// Run serves a new engine until ctx ends and its generations have ended. A crash
// or reclaim ends the process.
func Run(ctx context.Context, s Settings, log *slog.Logger) error {
	log = logging.WithPrefix(log, "engine").With("engine", s.Name)
	config, err := s.modelConfig()
	if err != nil {
		return err
	}
	executions, err := journal.Open[Entry](s.JournalPath)
	if err != nil {
		return err
	}
	defer func() { _ = executions.Close() }()
	listener, err := process.Listen(s.Listen, log)
	if err != nil {
		return err
	}
	registration, err := process.Register(s.RegisterURL, targetEntry(s, listener.Address()), log)
	if err != nil {
		return err
	}
	server := New(Options{
		Model:     config,
		Retention: s.Retention,
		Journal:   executions,
		OnExit:    exitFunc(registration, log),
		OnLeaving: registration.SetLeaving,
		Log:       log,
	})
	defer registration.Remove()
	runCtx, stopRunning := context.WithCancel(context.Background())
	stopped := make(chan struct{})
	go func() {
		defer close(stopped)
		server.Run(runCtx)
	}()
	defer func() {
		stopRunning()
		<-stopped
	}()
	return listener.Run(ctx, server.Handler(), func() {
		registration.SetLeaving(true)
		server.rejectNewAndWait(s.DrainTimeout)
	}, shutdownGrace)
}

func targetEntry(s Settings, address string) platform.Target {
	return platform.Target{Name: s.Name, Address: address, Domain: s.Domain, Region: s.Region, Kind: platform.TargetEngine}
}

// exit returns what ends the process at once. The platform takes a reclaimed
// engine off its list, but does not learn of a crash.
func exitFunc(registration *process.Registration, log *slog.Logger) func(ExitReason) {
	return func(reason ExitReason) {
		log.Error("ended", "reason", string(reason))
		if reason == ExitCrashed {
			os.Exit(crashExitCode)
		}
		registration.Remove()
		os.Exit(reclaimExitCode)
	}
}

// drain refuses new generations and waits until the running ones have ended.
func (s *Server) rejectNewAndWait(timeout time.Duration) {
	s.mu.Lock()
	s.model.SetLeaving(time.Now(), true)
	s.mu.Unlock()
	deadline := time.Now().Add(timeout)
	for s.hasActiveGenerations() && time.Now().Before(deadline) {
		time.Sleep(drainPollInterval)
	}
}
