// Package capacity measures the resource usage of processes, fits how it grows with the
// size of a deployment, and computes the usage of each role at the projected size for
// the capacity page.
package capacity

import (
	"encoding/json"
	"errors"
	"io"
	"os"
	"slices"

	"github.com/rotisserie/eris"
)

// Point is one measurement of all processes of one role in a running deployment.
type Point struct {
	Series      string  `json:"series"` // name of the series; its points vary one size of the deployment
	Role        string  `json:"role"`   // program: agent, gateway, engine or store
	Date        string  `json:"date"`   // RFC 3339, UTC
	LoadAverage float64 `json:"load_average"`
	Command     string  `json:"command"`
	Seconds     float64 `json:"seconds"`

	Hosts             int     `json:"hosts"`
	Targets           int     `json:"targets"`
	RequestsPerSecond float64 `json:"requests_per_second"` // sent to all gateways together
	TokensPerSecond   float64 `json:"tokens_per_second"`   // delivered by all gateways together
	Accounts          int     `json:"accounts"`            // client accounts in the environment document
	ChangesPerSecond  float64 `json:"changes_per_second"`  // changes of the environment document

	Processes      int        `json:"processes"`
	CorePercent    MeanAndMax `json:"core_percent"`      // CPU per process, 100 for one core
	ResidentMB     MeanAndMax `json:"resident_mb"`       // resident memory per process, in MiB
	KBPerSecond    MeanAndMax `json:"kb_per_second"`     // received and sent per process, 1 kB is 1000 bytes
	RPCKBPerSecond MeanAndMax `json:"rpc_kb_per_second"` // the part that is net/rpc; 0 if not counted
	Store          StoreLoad  `json:"store"`             // calls of the whole deployment
}

// MeanAndMax summarizes a metric over the processes of a point.
type MeanAndMax struct {
	Mean float64 `json:"mean"`
	Max  float64 `json:"max"`
}

func meanAndMax(values []float64) MeanAndMax {
	if len(values) == 0 {
		return MeanAndMax{}
	}
	sum := 0.0
	for _, v := range values {
		sum += v
	}
	return MeanAndMax{Mean: sum / float64(len(values)), Max: slices.Max(values)}
}

// ReadPoints reads a file of JSON lines, one point per line.
func ReadPoints(path string) ([]Point, error) {
	file, err := os.Open(path)
	if err != nil {
		return nil, eris.Wrap(err, "cannot read measurements; run the measurement first")
	}
	defer func() { _ = file.Close() }()
	decoder := json.NewDecoder(file)
	var points []Point
	for {
		var p Point
		err := decoder.Decode(&p)
		if errors.Is(err, io.EOF) {
			return points, nil
		}
		if err != nil {
			return nil, eris.Wrapf(err, "cannot read %s; each line must be one measurement", path)
		}
		points = append(points, p)
	}
}

// AppendPoints appends points to a file of JSON lines and creates it if it is missing.
func AppendPoints(path string, points []Point) error {
	file, err := os.OpenFile(path, os.O_APPEND|os.O_CREATE|os.O_WRONLY, 0o644)
	if err != nil {
		return eris.Wrap(err, "cannot write the measurement; choose another --out")
	}
	encoder := json.NewEncoder(file)
	for _, p := range points {
		if err := encoder.Encode(p); err != nil {
			_ = file.Close()
			return eris.Wrap(err, "cannot write the measurement; choose another --out")
		}
	}
	return file.Close()
}
