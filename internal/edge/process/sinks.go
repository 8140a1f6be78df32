package process

import (
	"errors"
	"log/slog"

	"corianderhitch/internal/edge/policy"
	"corianderhitch/internal/edge/targets"
	"corianderhitch/internal/platform"
)

// policySink puts configurations from the store in force.
type policySink struct {
	log    *slog.Logger
	holder *policy.Holder
	key    string
	known  func(asOf platform.Revision, read *operatorRead) // called with what is known once it is in force
}

// Replace implements feed.Sink.
func (s *policySink) Replace(entries []platform.Entry, revision platform.Revision, _ bool) {
	for i := range entries {
		if entries[i].Key == s.key {
			read := s.apply(&entries[i], "list")
			s.known(revision, &read)
		}
	}
}

// Apply implements feed.Sink. Only the last change of the configuration matters.
func (s *policySink) Apply(events []platform.Event, revision platform.Revision) {
	var read operatorRead
	for i := len(events) - 1; i >= 0; i-- {
		if !events[i].Deleted && events[i].Entry.Key == s.key {
			read = s.apply(&events[i].Entry, "watch")
			break
		}
	}
	s.known(revision, &read)
}

// apply puts a configuration in force if it is newer than the current one.
func (s *policySink) apply(e *platform.Entry, source string) operatorRead {
	accepted, err := s.holder.ApplyIfNewer(e.Value, e.Revision)
	switch {
	case errors.Is(err, policy.ErrOlderVersion):
		s.log.Warn("policy: the restored store holds an older version; the current one stays in force", "source", source, "error", err.Error())
	case err != nil:
		s.log.Error("policy: configuration could not be decoded; the previous one stays in force", "revision", e.Revision, "source", source, "error", err.Error())
	case accepted:
		s.log.Info("policy: configuration in force", "version", s.holder.Current().Version, "revision", e.Revision, "source", source, "bytes", len(e.Value))
	}
	return operatorRead{era: e.Revision.Era(), found: true, invalid: err}
}

// targetSink keeps the list of targets up to date.
type targetSink struct {
	log      *slog.Logger
	registry *targets.Registry
	decode   func(key string, value []byte) (targets.Target, error)
	onListed func()                                              // called after each complete list
	onEntry  func(t *targets.Target, revision platform.Revision) // called with each entry before it is in force; nil for nothing
	known    map[string]targets.Target                           // entries of the last list; kept while a list after an outage is not settled
}

// Replace implements feed.Sink.
func (s *targetSink) Replace(entries []platform.Entry, revision platform.Revision, settled bool) {
	current := make(map[string]targets.Target, len(entries))
	for i := range entries {
		if t, ok := s.decodeEntry(&entries[i]); ok {
			current[entries[i].Key] = t
		} else {
			s.registry.Apply([]targets.Change{{Name: entries[i].Key, Unreadable: true}}, s.registry.View().Revision)
		}
	}
	if !settled {
		for key, t := range s.known {
			if _, ok := current[key]; !ok {
				current[key] = t
			}
		}
	}
	s.known = current
	s.registry.Replace(current, revision)
	s.log.Info("targets: list replaced", "targets", len(current), "revision", revision, "settled", settled)
	s.onListed()
}

// Apply implements feed.Sink. It logs changes once they are in force.
func (s *targetSink) Apply(events []platform.Event, revision platform.Revision) {
	changes := make([]targets.Change, 0, len(events))
	for i := range events {
		changes = append(changes, s.change(&events[i]))
	}
	s.registry.Apply(changes, revision)
	for i := range changes {
		s.logChange(&changes[i], events[i].Entry.Revision)
	}
}

// change decodes one changed entry.
func (s *targetSink) change(event *platform.Event) targets.Change {
	e := &event.Entry
	if event.Deleted {
		delete(s.known, e.Key)
		return targets.Change{Name: e.Key}
	}
	t, ok := s.decodeEntry(e)
	if !ok {
		return targets.Change{Name: e.Key, Unreadable: true}
	}
	s.known[e.Key] = t
	return targets.Change{Name: e.Key, Target: &t}
}

func (s *targetSink) logChange(c *targets.Change, revision platform.Revision) {
	switch {
	case c.Unreadable: // logged by decodeEntry
	case c.Target == nil:
		s.log.Info("targets: entry removed", "key", c.Name, "revision", revision)
	default:
		s.log.Info("targets: entry changed", "target", c.Target.ID, "service", c.Target.Service, "address", c.Target.Address, "leaving", c.Target.Leaving, "revision", revision)
	}
}

// decodeEntry decodes a target; it logs an entry that cannot be decoded and
// removes it from known.
func (s *targetSink) decodeEntry(e *platform.Entry) (targets.Target, bool) {
	t, err := s.decode(e.Key, e.Value)
	if err != nil {
		s.log.Warn("targets: entry ignored", "key", e.Key, "revision", e.Revision, "error", err.Error())
		delete(s.known, e.Key)
		return t, false
	}
	if s.onEntry != nil {
		s.onEntry(&t, e.Revision)
	}
	return t, true
}
