package scheduler

import (
	"time"

	"corianderhitch/api/control"
	"corianderhitch/internal/document"
	"corianderhitch/internal/scheduling"
)

// Configurer is implemented by policies that use the document's objectives and limits.
type Configurer interface {
	Configure(config scheduling.Config)
}

// Successor is implemented by policies that keep the rates of accounts.
type Successor interface {
	// TakeOver records that another process may have granted requests until now.
	TakeOver(now time.Time)
}

func policyRequest(now time.Time, args control.AdmitArgs) scheduling.Request {
	return scheduling.Request{
		Ticket:       args.Ticket,
		Account:      args.Account,
		Model:        args.Model,
		Version:      args.Version,
		Adapter:      args.Adapter,
		Class:        args.Class,
		Priority:     args.Priority,
		Weight:       args.Weight,
		PromptTokens: args.PromptTokens,
		Produced:     args.Produced,
		MaxTokens:    args.MaxTokens,
		PrefixHashes: args.PrefixHashes,
		Submitted:    now,
		Deadline:     args.Deadline,
		Fingerprint:  args.Fingerprint,
	}
}

// policyConfig returns the part of the document that policies use.
func policyConfig(d *document.Document) scheduling.Config {
	if d == nil {
		return scheduling.Config{}
	}
	limits := make(map[string]document.Limits, len(d.Accounts))
	for _, a := range d.Accounts {
		limits[a.Name] = a.Limits
	}
	return scheduling.Config{Objectives: d.Objectives, Limits: limits}
}

// lateClasses returns the classes that allow late delivery.
func lateClasses(d *document.Document) map[string]bool {
	classes := make(map[string]bool)
	if d == nil {
		return classes
	}
	for _, c := range d.Classes {
		if c.MayArriveLate {
			classes[c.Name] = true
		}
	}
	return classes
}
