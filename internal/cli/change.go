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

// changeFlags are the flags of the commands that change the document in force.
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

// change is the result of apply, promote and rollback in JSON output.
type change struct {
	Environment string            `json:"environment"`
	Base        int64             `json:"base"`
	Revision    int64             `json:"revision"` // revision in force after the command
	Unchanged   bool              `json:"unchanged,omitempty"`
	DryRun      bool              `json:"dry_run,omitempty"`
	Origin      string            `json:"origin,omitempty"`
	Changes     []document.Change `json:"changes"`
	WaitSeconds *float64          `json:"wait_seconds,omitempty"`
	Hosts       int               `json:"hosts,omitempty"` // live hosts that have it in force
}

// plan is a change before it is carried out.
type plan struct {
	environment string
	document    document.Document // content that shall be in force
	accept      func(ctx context.Context, base int64) (document.Accepted, error)
}

// carryOut shows the changes of a plan against the revision in force, carries
// it out on that revision, or on --base, and waits if asked.
func (a *app) carryOut(ctx context.Context, f *changeFlags, p plan) error {
	before, err := a.baseDocument(ctx, p.environment, f.base)
	if err != nil {
		return err
	}
	c := change{
		Environment: p.environment,
		Base:        before.Revision,
		Revision:    before.Revision,
		DryRun:      f.dryRun,
		Changes:     document.Diff(before.Document, p.document),
	}
	if f.dryRun {
		return a.showChange(c)
	}
	if f.wait {
		if err := a.checkFleet(ctx, p.environment); err != nil {
			return err
		}
	}
	after, err := p.accept(ctx, before.Revision)
	if err != nil {
		return err
	}
	c.Revision, c.Origin = after.Revision, after.Origin
	c.Unchanged = after.Revision == before.Revision
	if f.wait {
		if err := a.waitInForce(ctx, f, &c); err != nil {
			return err
		}
	}
	return a.showChange(c)
}

// checkFleet refuses --wait on a fleet of another environment before anything is
// changed. Agents that do not answer now may answer during the wait.
func (a *app) checkFleet(ctx context.Context, environment string) error {
	status, _, err := askAgents[control.StatusReply](ctx, a, "Control.Status", control.Empty{})
	if err != nil {
		return nil
	}
	if err := sameEnvironment(status, environment); err != nil {
		return &usageError{"nothing was changed: " + err.Error()}
	}
	return nil
}

// baseDocument returns the document in force. A --base that was overtaken is a
// conflict already.
func (a *app) baseDocument(ctx context.Context, environment string, base int64) (document.Accepted, error) {
	current, err := a.currentOrNone(ctx, environment)
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

func (a *app) showChange(c change) error {
	return a.out.result(c, func(w io.Writer) {
		fmt.Fprintf(w, "against revision %d of %s:\n", c.Base, c.Environment)
		writeChanges(w, c.Changes)
		switch {
		case c.DryRun:
			fmt.Fprintf(w, "dry run, nothing was changed; apply with --base %d\n", c.Base)
		case c.Unchanged:
			fmt.Fprintf(w, "revision %d of %s is already this document; nothing was changed\n", c.Revision, c.Environment)
		default:
			fmt.Fprintf(w, "accepted as revision %d of %s (%s)\n", c.Revision, c.Environment, c.Origin)
		}
		if c.WaitSeconds != nil {
			fmt.Fprintf(w, "in force on %d hosts after %.2f s\n", c.Hosts, *c.WaitSeconds)
		}
	})
}
