package cli

import (
	"context"
	"fmt"
	"io"

	"github.com/spf13/pflag"

	"corianderhitch/api/control"
	"corianderhitch/internal/docstore"
	"corianderhitch/internal/document"
)

// changeFlags holds the flags of the commands that change the document in force.
type changeFlags struct {
	base    int64
	comment string
	dryRun  bool
	wait    bool
	waitFor durationFlag
}

func (f *changeFlags) register(flags *pflag.FlagSet) {
	flags.Int64Var(&f.base, "base", docstore.AnyBase, "revision that the change is based on; default is the one that this command's diff shows")
	flags.StringVar(&f.comment, "comment", "", "why, for the history")
	flags.BoolVar(&f.dryRun, "dry-run", false, "show the changes and stop")
	flags.BoolVar(&f.wait, "wait", false, "wait until every live host has the revision in force")
	f.waitFor = durationFlag(defaultWaitFor)
	flags.Var(&f.waitFor, "wait-for", "bound of --wait")
}

// changeResult is the JSON output of apply, promote and rollback.
type changeResult struct {
	Environment string            `json:"environment"`
	Base        int64             `json:"base"`
	Revision    int64             `json:"revision"` // revision in force after the command
	Unchanged   bool              `json:"unchanged,omitempty"`
	DryRun      bool              `json:"dry_run,omitempty"`
	Origin      string            `json:"origin,omitempty"`
	Changes     []document.Change `json:"changes"`
	WaitSeconds *float64          `json:"wait_seconds,omitempty"`
	Hosts       int               `json:"hosts,omitempty"` // live hosts that report the revision
}

// changePlan is a change that is not executed yet.
type changePlan struct {
	environment string
	document    document.Document // new content
	commit      func(ctx context.Context, base int64) (document.Accepted, error)
}

// execute commits a change against the revision in force, which must be --base if
// that is set, waits until it is in force on all hosts if --wait is set, and prints
// the result. With --dry-run it only prints the changes.
func (a *app) execute(ctx context.Context, flags *changeFlags, plan changePlan) error {
	before, err := a.baseDocument(ctx, plan.environment, flags.base)
	if err != nil {
		return err
	}
	result := changeResult{
		Environment: plan.environment,
		Base:        before.Revision,
		Revision:    before.Revision,
		DryRun:      flags.dryRun,
		Changes:     document.Diff(before.Document, plan.document),
	}
	if flags.dryRun {
		return a.writeChangeResult(result)
	}
	if flags.wait {
		if err := a.checkFleetEnvironment(ctx, plan.environment); err != nil {
			return err
		}
	}
	after, err := plan.commit(ctx, before.Revision)
	if err != nil {
		return err
	}
	result.Revision, result.Origin = after.Revision, after.Origin
	result.Unchanged = after.Revision == before.Revision
	if flags.wait {
		if err := a.waitUntilInForce(ctx, flags, &result); err != nil {
			return err
		}
	}
	return a.writeChangeResult(result)
}

// checkFleetEnvironment rejects --wait before anything is changed if the agents are
// of another environment. Unreachable agents are no error here: they may answer
// during the wait.
func (a *app) checkFleetEnvironment(ctx context.Context, environment string) error {
	status, _, err := callAnyAgent[control.StatusReply](ctx, a, "Control.Status", control.Empty{})
	if err != nil {
		return nil
	}
	if err := checkEnvironment(status, environment); err != nil {
		return &usageError{"nothing was changed: " + err.Error()}
	}
	return nil
}

// baseDocument returns the document in force, or a *docstore.ConflictError if base is
// another revision than the one in force.
func (a *app) baseDocument(ctx context.Context, environment string, base int64) (document.Accepted, error) {
	current, err := a.currentOrEmpty(ctx, environment)
	if err != nil || base == docstore.AnyBase || base == current.Revision {
		return current, err
	}
	return document.Accepted{}, &docstore.ConflictError{
		Environment: environment,
		Base:        base,
		Current:     current.Revision,
		Operator:    current.Operator,
		AcceptedAt:  current.AcceptedAt,
		Comment:     current.Comment,
	}
}

func (a *app) writeChangeResult(result changeResult) error {
	return a.out.writeResult(result, func(w io.Writer) {
		fmt.Fprintf(w, "against revision %d of %s:\n", result.Base, result.Environment)
		writeChanges(w, result.Changes)
		switch {
		case result.DryRun:
			fmt.Fprintf(w, "dry run, nothing was changed; apply with --base %d\n", result.Base)
		case result.Unchanged:
			fmt.Fprintf(w, "revision %d of %s is already this document; nothing was changed\n", result.Revision, result.Environment)
		default:
			fmt.Fprintf(w, "accepted as revision %d of %s (%s)\n", result.Revision, result.Environment, result.Origin)
		}
		if result.WaitSeconds != nil {
			fmt.Fprintf(w, "in force on %d hosts after %.2f s\n", result.Hosts, *result.WaitSeconds)
		}
	})
}
