package tlskeys

import "time"

// Settings configure the files with TLS credentials. The three file settings are
// either all empty, which disables TLS, or all set.
type Settings struct {
	TLSCert     string        `flag:"tls-cert" usage:"file with this host's certificate and its chain in PEM; empty turns TLS off"`
	TLSKey      string        `flag:"tls-key" usage:"file with the private key of --tls-cert in PEM"`
	TLSCA       string        `flag:"tls-ca" usage:"file with the authorities that issue the hosts' certificates in PEM; both the old and the new one while one is replaced"`
	TLSPeerName string        `flag:"tls-peer-name" usage:"DNS name that every host's certificate carries; empty means that each carries its own IP number"`
	TLSReload   time.Duration `flag:"tls-reload" default:"2s" usage:"time between looks at the files for a change" validate:"min=10ms"`
}

// Enabled reports whether any file setting is set.
func (s Settings) Enabled() bool { return s.TLSCert != "" || s.TLSKey != "" || s.TLSCA != "" }
