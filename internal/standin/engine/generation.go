package engine

import (
	"time"

	apiengine "corianderhitch/api/engine"
	"corianderhitch/internal/enginemodel"
)

// generation is the server's state of one generation. The text of every token is a
// function of the generation's identity, so any token can be sent again without
// storing the text. All fields but the first four are guarded by Server.mu.
type generation struct {
	id          string
	requestID   string
	tag         string
	tokenPrefix []byte // beginning of each token event, up to the offset

	tokenCount  int // tokens 0 to tokenCount-1 exist
	endedAt     time.Time
	reason      apiengine.FinishReason
	interrupted bool // the engine has stopped
	subscribers []chan struct{}
}

func newGeneration(r apiengine.GenerateRequest) *generation {
	identity := enginemodel.Identity{Generation: r.ID, Model: r.Model, Version: r.Version, Adapter: r.Adapter}
	return &generation{
		id:          r.ID,
		requestID:   r.RequestID,
		tag:         identity.Tag(),
		tokenPrefix: tokenEventPrefix(r.ID),
		tokenCount:  len(r.Prefix),
	}
}

func (g *generation) hasEnded() bool { return !g.endedAt.IsZero() }

// subscribe returns a channel that receives a value after each change of the
// generation.
func (g *generation) subscribe() chan struct{} {
	updates := make(chan struct{}, 1)
	g.subscribers = append(g.subscribers, updates)
	return updates
}

func (g *generation) unsubscribe(updates chan struct{}) {
	for i, subscriber := range g.subscribers {
		if subscriber == updates {
			g.subscribers = append(g.subscribers[:i], g.subscribers[i+1:]...)
			return
		}
	}
}

// notify signals all subscribers. The channels hold one value, so signals that a
// subscriber has not consumed yet are merged.
func (g *generation) notify() {
	for _, subscriber := range g.subscribers {
		select {
		case subscriber <- struct{}{}:
		default:
		}
	}
}

func (g *generation) finish(now time.Time, reason apiengine.FinishReason) {
	g.endedAt = now
	g.reason = reason
	g.notify()
}
