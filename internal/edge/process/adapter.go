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

// Adapter holds what a platform provides to the edge process.
type Adapter struct {
	ReadNode            func(path string) (node.Node, error)
	NewStore            func(address string) peers.Store
	Wire                edge.Wire
	NewEngineClient     func(*targetconn.Pool) edge.EngineClient
	ConfigurationKey    string // key of the configuration in the store
	TargetPrefix        string // prefix of the targets' keys in the store
	DecodeConfiguration func([]byte) (*policy.Configuration, error)
	DecodeTarget        func(key string, value []byte) (targets.Target, error)
	ReadyPath           string    // HTTP path of the platform's readiness checks
	LogOutput           io.Writer // nil for standard output
}

func (a *Adapter) requestID(h http.Header) string { return a.Wire.RequestID(h) }
