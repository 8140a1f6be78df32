package judge

import (
	"testing"

	"github.com/stretchr/testify/require"

	"corianderhitch/internal/drill/record"
)

func TestInTouch(t *testing.T) {
	for name, c := range map[string]struct {
		events  []record.HostEvent
		outages []record.Span
		at      float64
		inTouch bool
	}{
		"undisturbed":                              {nil, nil, 20, true},
		"within contactMs of its start":            {[]record.HostEvent{event(record.Started, 10)}, nil, 12.999, false},
		"contactMs after its start":                {[]record.HostEvent{event(record.Started, 10)}, nil, 13, true},
		"within contactMs of SIGTERM":              {[]record.HostEvent{event(record.Term, 10)}, nil, 12.9, false},
		"draining, contactMs after SIGTERM":        {[]record.HostEvent{event(record.Term, 10)}, nil, 13.1, true},
		"after SIGHUP":                             {[]record.HostEvent{event(record.Hup, 10)}, nil, 10.1, true},
		"after it reported ready":                  {[]record.HostEvent{event(record.Ready, 10)}, nil, 10.1, true},
		"killed":                                   {[]record.HostEvent{event(record.Killed, 10)}, nil, 30, false},
		"within contactMs of a start after a kill": {[]record.HostEvent{event(record.Killed, 10), event(record.Started, 15)}, nil, 17, false},
		"contactMs after a start after a kill":     {[]record.HostEvent{event(record.Killed, 10), event(record.Started, 15)}, nil, 18, true},
		"ended after SIGTERM":                      {[]record.HostEvent{event(record.Term, 10), event(record.Exited, 12)}, nil, 30, false},
		"ended by itself":                          {[]record.HostEvent{event(record.Exited, 10), event(record.Started, 11)}, nil, 11.5, true},
		"ended by itself within 1 s of a freeze":   {[]record.HostEvent{event(record.Frozen, 5), event(record.Thawed, 6), event(record.Exited, 7)}, nil, 20, false},
		"ended by itself later":                    {[]record.HostEvent{event(record.Frozen, 5), event(record.Thawed, 6), event(record.Exited, 7.1)}, nil, 20, true},
		"frozen":                                   {[]record.HostEvent{event(record.Frozen, 5)}, nil, 20, false},
		"within contactMs of a freeze":             {[]record.HostEvent{event(record.Frozen, 5), event(record.Thawed, 6)}, nil, 8.9, false},
		"contactMs after a freeze":                 {[]record.HostEvent{event(record.Frozen, 5), event(record.Thawed, 6)}, nil, 9, true},
		"within contactMs of an outage":            {nil, []record.Span{span(5, 7)}, 9.9, false},
		"contactMs after an outage":                {nil, []record.Span{span(5, 7)}, 10, true},
		"another host disturbed":                   {[]record.HostEvent{{Host: "host-2", At: at(10), Event: record.Killed}}, nil, 11, true},
	} {
		run := newRun()
		run.HostEvents, run.Outages = c.events, c.outages
		require.Equal(t, c.inTouch, newContact(run).inTouch("host-1", at(c.at)), name)
	}
}
