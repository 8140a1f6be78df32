package service

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
	// crashExitCode is the exit code after Fault.CrashNext.
	crashExitCode = 70
	// shutdownGrace limits the wait for calls in progress at shutdown.
	shutdownGrace = 30 * time.Second
)

// Settings are the flags of "standin service".
type Settings struct {
	process.Common
	Name            string        `flag:"name" default:"booking-1" usage:"target name" validate:"required"`
	Service         string        `flag:"service" default:"booking" usage:"name of the plain service in the document" validate:"required"`
	Domain          string        `flag:"domain" default:"local-a" usage:"failure domain" validate:"required"`
	Region          string        `flag:"region" default:"local" usage:"region of the failure domain" validate:"required"`
	RegisterURL     string        `flag:"register" usage:"URL of the stand-in store whose host list shall name this target; empty for none" validate:"omitempty,url"`
	Delay           time.Duration `flag:"delay" default:"0s" usage:"time that a call takes before it runs" validate:"min=0"`
	LingerAfterStop time.Duration `flag:"linger" default:"0s" usage:"how long after SIGTERM new calls are still answered with a refusal" validate:"min=0"`
	JournalPath     string        `flag:"journal" usage:"file to which the journal is appended as JSON lines; empty for none"`
}

// Run serves a new service until ctx is done. It then rejects new calls for
// s.LingerAfterStop and waits for the calls in progress.
func Run(ctx context.Context, s Settings, log *slog.Logger) error {
	log = logging.WithPrefix(log, "service").With("service", s.Name)
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
	defer registration.Remove()
	server := New(Options{
		Name:      s.Name,
		Journal:   executions,
		Delay:     s.Delay,
		Exit:      func() { os.Exit(crashExitCode) },
		OnLeaving: registration.SetLeaving,
		Log:       log,
	})
	listener.GateWith(server.SilenceGate())
	return listener.Run(ctx, server.Handler(), func() {
		registration.SetLeaving(true)
		server.setLeaving(true)
		time.Sleep(s.LingerAfterStop)
	}, shutdownGrace)
}

func targetEntry(s Settings, address string) platform.Target {
	return platform.Target{
		Name: s.Name, Address: address, Domain: s.Domain, Region: s.Region,
		Kind: platform.TargetService, Service: s.Service,
	}
}
