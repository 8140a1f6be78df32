package process

import (
	"io"
	"net/http"

	"corianderhitch/internal/edge"
	"corianderhitch/internal/edge/node"
	"corianderhitch/internal/edge/peers"
	"corianderhitch/internal/edge/policy"
	"corianderhitch/internal/edge/targetconn"
	"corianderhitch/internal/edge/targets"
)

// Adapter is what a platform provides.
type Adapter struct {
	ReadNode            func(path string) (node.Node, error)
	NewStore            func(address string) peers.Store
	Wire                edge.Wire
	NewEngineClient     func(*targetconn.Pool) edge.EngineClient
	ConfigurationKey    string // in the store
	TargetPrefix        string // of the targets' entries in the store
	DecodeConfiguration func([]byte) (*policy.Configuration, error)
	DecodeTarget        func(key string, value []byte) (targets.Target, error)
	ReadyPath           string    // where the platform asks for readiness
	LogOutput           io.Writer // nil for standard output
}

func (a *Adapter) requestID(h http.Header) string { return a.Wire.RequestID(h) }
