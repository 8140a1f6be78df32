package cli

import (
	"context"
	"time"

	"github.com/rotisserie/eris"
)

// agentTimeout bounds one call to one agent, so that a frozen agent does not
// hold up the command when others are named.
const agentTimeout = 3 * time.Second

// askAgents calls a method on the first agent of --agent that answers and
// returns the reply and the agent's address.
func askAgents[Reply any](ctx context.Context, a *app, method string, args any) (reply Reply, address string, err error) {
	for _, address := range a.settings.Agent {
		// A reply of its own for each call: one that timed out may be written late.
		answer := new(Reply)
		err = a.askAgent(ctx, address, method, args, answer)
		if err == nil {
			return *answer, address, nil
		}
	}
	return reply, "", eris.Wrap(err, "no agent answers; start one or name others with --agent")
}

func (a *app) askAgent(ctx context.Context, address, method string, args, answer any) error {
	ctx, cancel := context.WithTimeout(ctx, agentTimeout)
	defer cancel()
	return a.agents.Call(ctx, address, method, args, answer)
}
