package cli

import (
	"context"
	"time"

	"github.com/rotisserie/eris"
)

// agentTimeout limits one call to one agent, so that an unresponsive agent does not
// delay the command when --agent lists others.
const agentTimeout = 3 * time.Second

// callAnyAgent calls a method on the agents of --agent in order until one answers,
// and returns the reply and the agent's address.
func callAnyAgent[Reply any](ctx context.Context, a *app, method string, args any) (reply Reply, address string, err error) {
	for _, address := range a.settings.Agent {
		// Each call needs its own reply: a call that timed out may still write to it.
		agentReply := new(Reply)
		err = a.callAgent(ctx, address, method, args, agentReply)
		if err == nil {
			return *agentReply, address, nil
		}
	}
	return reply, "", eris.Wrap(err, "no agent answers; start one or name others with --agent")
}

func (a *app) callAgent(ctx context.Context, address, method string, args, reply any) error {
	ctx, cancel := context.WithTimeout(ctx, agentTimeout)
	defer cancel()
	return a.agents.Call(ctx, address, method, args, reply)
}
