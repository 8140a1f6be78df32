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
	// crashExitCode and reclaimExitCode are the exit codes of the process after a
	// simulated crash or reclaim.
	crashExitCode   = 70
	reclaimExitCode = 0
	// shutdownGrace gives the streams of finished generations time to be flushed.
	shutdownGrace = 2 * time.Second
	// drainPollInterval is the time between checks for active generations during a
	// drain.
	drainPollInterval = 20 * time.Millisecond
)

// Run serves a new engine until ctx is done, then drains it for at most
// s.DrainTimeout. A simulated crash or reclaim exits the process.
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
	listener.GateWith(server.SilenceGate())
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

// exitFunc returns a callback that exits the process immediately. A reclaimed engine is
// first removed from the host list; a crashed one stays listed, because a real
// platform does not notice a crash.
func exitFunc(registration *process.Registration, log *slog.Logger) func(ExitReason) {
	return func(reason ExitReason) {
		log.Error("engine ended, exiting the process", "reason", string(reason))
		if reason == ExitCrashed {
			os.Exit(crashExitCode)
		}
		registration.Remove()
		os.Exit(reclaimExitCode)
	}
}

// rejectNewAndWait makes the engine reject new generations and waits until the
// active ones have finished, for at most timeout.
func (s *Server) rejectNewAndWait(timeout time.Duration) {
	s.mu.Lock()
	s.model.SetLeaving(time.Now(), true)
	s.mu.Unlock()
	deadline := time.Now().Add(timeout)
	for s.hasActiveGenerations() && time.Now().Before(deadline) {
		time.Sleep(drainPollInterval)
	}
}
