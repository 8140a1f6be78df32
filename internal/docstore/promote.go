package docstore

import (
	"context"
	"fmt"

	"corianderhitch/internal/document"
)

// AnyBase lets Promote and Rollback replace whatever revision is in force when
// they start. They still fail if another change is accepted meanwhile.
const AnyBase int64 = -1

// PromoteRequest holds the arguments of Promote.
type PromoteRequest struct {
	From     string
	Revision int64 // accepted revision of From; need not be the current one
	To       string
	Base     int64 // revision of To that the operator read, or AnyBase
	Operator string
	Comment  string
}

// Promote copies the document of an accepted revision of one environment to another
// as a new revision. Only the environment's name changes. Errors are
// those of Apply, or a *RevisionNotFoundError.
func (s *Store) Promote(ctx context.Context, req PromoteRequest) (document.Accepted, error) {
	source, err := s.AtRevision(ctx, req.From, req.Revision)
	if err != nil {
		return document.Accepted{}, err
	}
	d := source.Document
	d.Environment = req.To
	base, err := s.resolveBase(ctx, req.To, req.Base)
	if err != nil {
		return document.Accepted{}, err
	}
	return s.apply(ctx, ApplyRequest{
		Environment: req.To,
		Base:        base,
		Document:    d,
		Operator:    req.Operator,
		Comment:     req.Comment,
		Origin:      fmt.Sprintf("promote %s@%d", req.From, req.Revision),
	}, true)
}

// RollbackRequest holds the arguments of Rollback.
type RollbackRequest struct {
	Environment string
	ToRevision  int64
	Base        int64 // revision that the operator read, or AnyBase
	Operator    string
	Comment     string
}

// Rollback puts the document of an earlier accepted revision in force as a new
// revision. Errors are those of Apply, or a *RevisionNotFoundError.
func (s *Store) Rollback(ctx context.Context, req RollbackRequest) (document.Accepted, error) {
	source, err := s.AtRevision(ctx, req.Environment, req.ToRevision)
	if err != nil {
		return document.Accepted{}, err
	}
	base, err := s.resolveBase(ctx, req.Environment, req.Base)
	if err != nil {
		return document.Accepted{}, err
	}
	return s.apply(ctx, ApplyRequest{
		Environment: req.Environment,
		Base:        base,
		Document:    source.Document,
		Operator:    req.Operator,
		Comment:     req.Comment,
		Origin:      fmt.Sprintf("rollback %d", req.ToRevision),
	}, true)
}

// resolveBase replaces AnyBase by the revision in force.
func (s *Store) resolveBase(ctx context.Context, environment string, base int64) (int64, error) {
	if base != AnyBase {
		return base, nil
	}
	current, _, err := s.currentRecord(ctx, environment)
	if err != nil {
		return 0, wrapUnchanged(err)
	}
	return current.Revision, nil
}
