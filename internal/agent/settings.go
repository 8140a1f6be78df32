package agent

import (
	"time"

	"corianderhitch/internal/logging"
	"corianderhitch/internal/telemetry"
	"corianderhitch/internal/tlskeys"
)

// LogSettings are the logging settings. The alias allows embedding them together with
// TraceSettings and TLSSettings, as the original types are all named Settings.
type LogSettings = logging.Settings

// TraceSettings are the settings of metrics and traces.
type TraceSettings = telemetry.Settings

// TLSSettings are the settings of TLS between hosts.
type TLSSettings = tlskeys.Settings

// Settings are the command-line settings of the agent.
type Settings struct {
	Host        string        `flag:"host" usage:"unique name of this host" validate:"required"`
	Domain      string        `flag:"domain" usage:"failure domain of this host" validate:"required"`
	Region      string        `flag:"region" default:"default" usage:"region of this host" validate:"required"`
	Environment string        `flag:"environment" default:"production" usage:"environment whose document is in force here" validate:"required"`
	Listen      string        `flag:"listen" default:"127.0.0.1:7100" usage:"ip:port of the net/rpc for gateways and agents" validate:"hostname_port"`
	Advertise   string        `flag:"advertise" usage:"ip:port under which others reach --listen; empty means the address listened on" validate:"omitempty,hostname_port"`
	OutboundIP  string        `flag:"outbound-ip" usage:"local IP address of connections to targets; empty lets the system choose" validate:"omitempty,ip"`
	HTTP        string        `flag:"http" default:"127.0.0.1:7101" usage:"ip:port of /livez, /readyz and /metrics" validate:"hostname_port"`
	Store       string        `flag:"store" usage:"base URL of the platform's store and host list" validate:"required,url"`
	Peers       []string      `flag:"peers" usage:"ip:port of agents to ask for the fleet, separated by commas; the store's registration is used too"`
	Heartbeat   time.Duration `flag:"heartbeat-interval" default:"1s" usage:"time between two rounds of heartbeats" validate:"min=10ms"`
	SuspectTime time.Duration `flag:"suspect-time" default:"4s" usage:"time from the suspicion of a host to its death" validate:"min=10ms"`
	PeerTimeout time.Duration `flag:"peer-timeout" default:"1s" usage:"longest exchange with another agent" validate:"min=10ms"`
	Poll        time.Duration `flag:"poll-interval" default:"500ms" usage:"time between two polls of an observed target" validate:"min=10ms"`
	PollTimeout time.Duration `flag:"poll-timeout" default:"1s" usage:"longest poll of a target" validate:"min=10ms"`
	ListPeriod  time.Duration `flag:"list-interval" default:"2s" usage:"time between two reads of the platform's host list" validate:"min=10ms"`
	DrainTime   time.Duration `flag:"drain-time" default:"5s" usage:"longest stop after SIGTERM" validate:"min=100ms"`
	MemoryLimit int           `flag:"memory-limit-mb" default:"32" usage:"soft memory limit in MiB unless GOMEMLIMIT is set; 0 for none" validate:"min=0"`
	Policy      string        `flag:"policy" default:"pool_owner" usage:"how pools admit requests; all but pool_owner are baselines for comparisons" validate:"omitempty,oneof=pool_owner least_in_flight reported_load round_robin worst_case_reservation"`
	PrintConfig bool          `flag:"print-config" usage:"print the settings and exit"`
	LogSettings
	TraceSettings
	TLSSettings
}
