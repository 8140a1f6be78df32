// Package capacity measures what processes use, fits how that grows with the
// size of a deployment, and works out each role at the size of the capacity page.
package capacity

import (
	"encoding/json"
	"errors"
	"io"
	"os"
	"slices"

	"github.com/rotisserie/eris"
)

// Point is one measurement of the processes of one role in a running deployment.
type Point struct {
	Series      string  `json:"series"` // points of one series differ in one size
	Role        string  `json:"role"`   // program: agent, gateway, engine, store
	Date        string  `json:"date"`   // UTC
	LoadAverage float64 `json:"load_average"`
	Command     string  `json:"command"`
	Seconds     float64 `json:"seconds"`

	Hosts             int     `json:"hosts"`
	Targets           int     `json:"targets"`
	RequestsPerSecond float64 `json:"requests_per_second"` // offered to all gateways
	TokensPerSecond   float64 `json:"tokens_per_second"`   // of all gateways
	Accounts          int     `json:"accounts"`            // client accounts in the document
	ChangesPerSecond  float64 `json:"changes_per_second"`  // of the document

	Processes      int        `json:"processes"`
	CorePercent    MeanAndMax `json:"core_percent"`      // of one core, a process
	ResidentMB     MeanAndMax `json:"resident_mb"`       // MiB, a process
	KBPerSecond    MeanAndMax `json:"kb_per_second"`     // 1000 bytes a process, received and sent
	RPCKBPerSecond MeanAndMax `json:"rpc_kb_per_second"` // the part of net/rpc, if counted
	Store          StoreLoad  `json:"store"`             // of the whole deployment
}

// Spread is the distribution of a figure over the processes of a point.
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

// ReadPoints reads the JSON lines of a file.
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

// AppendPoints adds JSON lines to a file.
func AppendPoints(path string, points []Point) error {
	file, err := os.OpenFile(path, os.O_APPEND|os.O_CREATE|os.O_WRONLY, 0o644)
	if err != nil {
		return eris.Wrap(err, "cannot keep the measurement; choose another --out")
	}
	encoder := json.NewEncoder(file)
	for _, p := range points {
		if err := encoder.Encode(p); err != nil {
			_ = file.Close()
			return eris.Wrap(err, "cannot keep the measurement; choose another --out")
		}
	}
	return file.Close()
}
