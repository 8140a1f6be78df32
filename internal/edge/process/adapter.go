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
	OperatorPrefix      string // prefix of the keys of the configuration and the evacuated domains
	TargetPrefix        string // prefix of the targets' keys in the store
	DecodeConfiguration func([]byte) (*policy.Configuration, error)
	// EvacuatedDomain returns the failure domain that a key evacuates, false for other keys.
	EvacuatedDomain func(key string) (domain string, ok bool)
	DecodeTarget    func(key string, value []byte) (targets.Target, error)
	ReadyPath       string    // HTTP path of the platform's readiness checks
	LogOutput       io.Writer // nil for standard output
}

func (a *Adapter) requestID(h http.Header) string { return a.Wire.RequestID(h) }
