package gateway

import (
	"time"

	"corianderhitch/internal/logging"
	"corianderhitch/internal/telemetry"
	"corianderhitch/internal/tlskeys"
)

// LogSettings are the logging settings that all programs share.
type LogSettings = logging.Settings

// TraceSettings are the telemetry settings that all programs share.
type TraceSettings = telemetry.Settings

// TLSSettings are the TLS settings that all programs share. With TLS on, callers use
// HTTPS, and the gateway calls agents with the host's certificate.
type TLSSettings = tlskeys.Settings

// KeyringSettings are the settings of the keyring that signs resume tokens.
type KeyringSettings = tlskeys.KeyringSettings

// Settings are the settings of the gateway program.
type Settings struct {
	Host       string   `flag:"host" usage:"unique name of this host" validate:"required"`
	Region     string   `flag:"region" default:"default" usage:"region of this host" validate:"required"`
	Listen     string   `flag:"listen" default:"127.0.0.1:8080" usage:"ip:port for callers" validate:"hostname_port"`
	Advertise  string   `flag:"advertise" usage:"ip:port under which this gateway is reached; empty means the address listened on" validate:"omitempty,hostname_port"`
	HTTP       string   `flag:"http" default:"127.0.0.1:8081" usage:"ip:port of /livez, /readyz and /metrics" validate:"hostname_port"`
	OutboundIP string   `flag:"outbound-ip" usage:"local IP address of connections to targets; empty lets the system choose" validate:"omitempty,ip"`
	Agents     []string `flag:"agents" default:"127.0.0.1:7100" usage:"ip:port of agents separated by commas, this host's own first" validate:"min=1,dive,hostname_port"`
	Store      string   `flag:"store" usage:"base URL of the platform's store" validate:"required,url"`
	TokenKeys  []string `flag:"token-keys" usage:"keys of resume tokens as id:hex separated by commas, the same on all gateways; the first one signs" secret:"true"`

	MaxBodyBytes      int           `flag:"max-body-bytes" default:"1048576" usage:"largest body of a request, in bytes" validate:"min=1024,max=67108864"`
	MaxHeaderBytes    int           `flag:"max-header-bytes" default:"16384" usage:"largest header of a request, in bytes" validate:"min=1024,max=1048576"`
	HeaderTimeout     time.Duration `flag:"header-timeout" default:"5s" usage:"longest time for a caller to send its header" validate:"min=10ms"`
	SlowCallerTimeout time.Duration `flag:"slow-caller-timeout" default:"30s" usage:"longest time for a caller to take what is sent, before it is cut off and may resume" validate:"min=100ms"`
	TokenLifetime     time.Duration `flag:"token-life" default:"1h" usage:"how long resume tokens are valid" validate:"min=1s"`

	ClaimTimeout        time.Duration `flag:"claim-timeout" default:"1s" usage:"longest wait for the store before a non-idempotent call is refused as not run" validate:"min=10ms,max=4s"`
	LateWritesPerSecond float64       `flag:"late-writes-per-second" default:"60" usage:"store writes a second that late drafts may cost over all hosts" validate:"gt=0"`
	LateConcurrent      int           `flag:"late-concurrent" default:"64" usage:"late drafts that run at once on this host" validate:"min=1"`
	LateScanInterval    time.Duration `flag:"late-scan-interval" default:"5s" usage:"time between two searches for drafts of hosts that are gone" validate:"min=50ms"`

	DrainNotice  time.Duration `flag:"drain-notice" default:"1s" usage:"time after SIGTERM for which new requests are still taken while /readyz says no" validate:"min=0"`
	DrainTimeout time.Duration `flag:"drain-timeout" default:"0s" usage:"longest wait for requests in progress after SIGTERM; 0 for no limit" validate:"min=0"`
	PrintConfig  bool          `flag:"print-config" usage:"print the settings and exit"`
	LogSettings
	TraceSettings
	TLSSettings
	KeyringSettings
}
