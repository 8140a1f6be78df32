package engine

import (
	"time"

	apiengine "corianderhitch/api/engine"
	"corianderhitch/internal/enginemodel"
)

// generation is what the server keeps of a generation: its texts are a function
// of its identity, so the numbers are enough to send any token again. All
// fields but the first four are guarded by Server.mu.
type generation struct {
	id        string
	requestID string
	tag       string
	lead      []byte // beginning of each token event, up to the offset

	tokens  int // tokens 0 to tokens-1 exist
	ended   time.Time
	reason  apiengine.FinishReason
	lost    bool // the engine has stopped
	readers []chan struct{}
}

func newGeneration(r apiengine.GenerateRequest) *generation {
	identity := enginemodel.Identity{Generation: r.ID, Model: r.Model, Version: r.Version, Adapter: r.Adapter}
	return &generation{
		id:        r.ID,
		requestID: r.RequestID,
		tag:       identity.Tag(),
		lead:      tokenLead(r.ID),
		tokens:    len(r.Prefix),
	}
}

func (g *generation) done() bool { return !g.ended.IsZero() }

// subscribe returns a channel that gets a value when there is news.
func (g *generation) subscribe() chan struct{} {
	news := make(chan struct{}, 1)
	g.readers = append(g.readers, news)
	return news
}

func (g *generation) unsubscribe(news chan struct{}) {
	for i, r := range g.readers {
		if r == news {
			g.readers = append(g.readers[:i], g.readers[i+1:]...)
			return
		}
	}
}

// wake tells the readers of news. A reader that has not taken the last news yet
// needs no more.
func (g *generation) wake() {
	for _, news := range g.readers {
		select {
		case news <- struct{}{}:
		default:
		}
	}
}

func (g *generation) end(now time.Time, reason apiengine.FinishReason) {
	g.ended = now
	g.reason = reason
	g.wake()
}
