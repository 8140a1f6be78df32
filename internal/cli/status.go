package cli

import (
	"context"
	"errors"
	"fmt"
	"io"
	"sort"
	"strings"
	"time"

	"github.com/spf13/cobra"

	"corianderhitch/api/control"
	"corianderhitch/internal/platform"
)

// statusResult is the JSON output of status.
type statusResult struct {
	Environment       string         `json:"environment"`
	StoreReached      bool           `json:"store_reached"` // this command could read from the store
	StoreError        string         `json:"store_error,omitempty"`
	StoreRevision     int64          `json:"store_revision"` // revision in force according to the store; 0 if there is none or the store was not reached
	Agent             string         `json:"agent,omitempty"`
	AgentError        string         `json:"agent_error,omitempty"`
	AgentReachesStore bool           `json:"agent_reaches_store"`
	Hosts             []hostStatus   `json:"hosts"`
	Targets           []targetStatus `json:"targets"`
	HeldPrefixes      []heldPrefix   `json:"held_prefixes"`
	InForce           bool           `json:"in_force"` // every live host has the store's revision
	Warning           string         `json:"warning,omitempty"`
}

// hostStatus is the status of one host of the system.
type hostStatus struct {
	Host            string `json:"host"`
	Domain          string `json:"domain"`
	State           string `json:"state"`
	AgentAddr       string `json:"agent_addr"`
	GatewayAddr     string `json:"gateway_addr,omitempty"`
	AgentRevision   int64  `json:"agent_revision"`
	GatewayRevision int64  `json:"gateway_revision"`
}

// targetStatus is the status of one target.
type targetStatus struct {
	Target      string    `json:"target"`
	Kind        string    `json:"kind"`
	Domain      string    `json:"domain"`
	Healthy     bool      `json:"healthy"`
	Leaving     bool      `json:"leaving"`
	Owner       string    `json:"owner"`
	Running     int       `json:"running"`
	Waiting     int       `json:"waiting"`
	UsedBlocks  int       `json:"used_blocks"`
	TotalBlocks int       `json:"total_blocks"`
	Preemptions int64     `json:"preemptions"`
	Observed    time.Time `json:"observed"`
}

// heldPrefix is a beginning of prompts that is held back since targets crashed under it.
type heldPrefix struct {
	Prefix  string   `json:"prefix"`
	Targets []string `json:"targets"` // that crashed
	Seconds float64  `json:"seconds"` // until requests with it are tried again
}

func (a *app) statusCommand() *cobra.Command {
	return &cobra.Command{
		Use:   "status",
		Short: "Show the revision in force on each host, hosts, targets and the store",
		Args:  cobra.NoArgs,
		RunE: a.runWithTimeout(func(ctx context.Context, _ []string) error {
			s, agentErr, storeErr := a.collectStatus(ctx)
			if err := a.out.writeResult(s, func(w io.Writer) { writeStatus(w, s) }); err != nil {
				return err
			}
			if agentErr != nil {
				return agentErr
			}
			return storeErr
		}),
	}
}

// collectStatus reads the status from the store and from an agent. Either may fail
// without the other; the status holds what was read and the texts of both errors.
func (a *app) collectStatus(ctx context.Context) (s statusResult, agentErr, storeErr error) {
	fleet, address, agentErr := callAnyAgent[control.StatusReply](ctx, a, "Control.Status", control.Empty{})
	s = statusResult{
		Environment:       a.settings.Environment,
		Agent:             address,
		AgentReachesStore: fleet.StoreReachable,
		Hosts:             hostStatuses(fleet.Members),
		Targets:           targetStatuses(fleet.Targets),
		HeldPrefixes:      heldPrefixes(fleet.Held),
	}
	if s.Environment == "" {
		s.Environment = fleet.Environment
	}
	if agentErr != nil {
		s.AgentError = agentErr.Error()
	}
	storeErr = a.addStoreStatus(ctx, &s)
	if !s.StoreReached || agentErr != nil {
		return s, agentErr, storeErr
	}
	err := checkEnvironment(fleet, s.Environment)
	if err == nil {
		err = checkNotAheadOfStore(fleet.Members, s.StoreRevision)
	}
	if err != nil {
		s.Warning = err.Error()
		return s, nil, nil
	}
	s.InForce = len(hostsBehind(fleet.Members, s.StoreRevision)) == 0
	return s, nil, nil
}

func (a *app) addStoreStatus(ctx context.Context, s *statusResult) error {
	if s.Environment == "" {
		return &usageError{"no environment is known; set --environment or HITCH_ENVIRONMENT"}
	}
	accepted, _, err := a.docs.Current(ctx, s.Environment)
	if err != nil && !errors.Is(err, platform.ErrNotFound) {
		s.StoreError = err.Error()
		return err
	}
	s.StoreReached = true
	s.StoreRevision = accepted.Revision
	return nil
}

func hostStatuses(members []control.Member) []hostStatus {
	list := make([]hostStatus, 0, len(members))
	for _, m := range members {
		list = append(list, hostStatus{
			Host:            m.Host,
			Domain:          m.Domain,
			State:           string(m.State),
			AgentAddr:       m.AgentAddr,
			GatewayAddr:     m.GatewayAddr,
			AgentRevision:   m.DocumentRevision,
			GatewayRevision: m.GatewayRevision,
		})
	}
	sort.Slice(list, func(i, j int) bool { return list[i].Host < list[j].Host })
	return list
}

func targetStatuses(targets []control.TargetState) []targetStatus {
	list := make([]targetStatus, 0, len(targets))
	for _, t := range targets {
		list = append(list, targetStatus{
			Target:      t.Name,
			Kind:        string(t.Kind),
			Domain:      t.Domain,
			Healthy:     t.Healthy,
			Leaving:     t.Leaving || t.Load.Leaving,
			Owner:       t.Owner,
			Running:     t.Load.Running,
			Waiting:     t.Load.Waiting,
			UsedBlocks:  t.Load.UsedBlocks,
			TotalBlocks: t.Load.TotalBlocks,
			Preemptions: t.Load.Preemptions,
			Observed:    t.Observed,
		})
	}
	sort.Slice(list, func(i, j int) bool { return list[i].Target < list[j].Target })
	return list
}

func heldPrefixes(held []control.HeldPrefix) []heldPrefix {
	list := make([]heldPrefix, 0, len(held))
	for _, h := range held {
		list = append(list, heldPrefix{Prefix: h.Prefix, Targets: h.Targets, Seconds: h.For.Round(time.Second).Seconds()})
	}
	return list
}

func writeStatus(w io.Writer, s statusResult) {
	fmt.Fprintf(w, "environment %s\n", orDash(s.Environment))
	if s.StoreReached {
		fmt.Fprintf(w, "store reachable, revision %d in force\n", s.StoreRevision)
	} else {
		fmt.Fprintln(w, "store not reached; hosts keep their last revision")
	}
	if s.AgentError != "" {
		fmt.Fprintln(w, "no agent answers; hosts and targets are not known")
		return
	}
	fmt.Fprintf(w, "agent %s, which reaches the store: %t\n", s.Agent, s.AgentReachesStore)
	fmt.Fprintf(w, "in force on every live host: %t\n", s.InForce)
	if s.Warning != "" {
		fmt.Fprintf(w, "warning: %s\n", s.Warning)
	}
	fmt.Fprintln(w)
	var hosts []string
	for _, h := range s.Hosts {
		hosts = append(hosts, joinCells(h.Host, h.Domain, h.State, h.AgentRevision, formatGatewayRevision(h), h.AgentAddr, h.GatewayAddr))
	}
	writeTable(w, "HOST\tDOMAIN\tSTATE\tAGENT REV\tGATEWAY REV\tAGENT\tGATEWAY", hosts)
	fmt.Fprintln(w)
	var targets []string
	for _, t := range s.Targets {
		targets = append(targets, joinCells(t.Target, t.Kind, t.Domain, t.Healthy, t.Leaving, t.Owner, t.Running, t.Waiting,
			fmt.Sprintf("%d/%d", t.UsedBlocks, t.TotalBlocks), t.Preemptions))
	}
	writeTable(w, "TARGET\tKIND\tDOMAIN\tHEALTHY\tLEAVING\tOWNER\tRUNNING\tWAITING\tBLOCKS\tPREEMPTIONS", targets)
	writeHeldPrefixes(w, s.HeldPrefixes)
}

func writeHeldPrefixes(w io.Writer, held []heldPrefix) {
	if len(held) == 0 {
		return
	}
	fmt.Fprintln(w)
	var rows []string
	for _, h := range held {
		rows = append(rows, joinCells(h.Prefix, strings.Join(h.Targets, " "), fmt.Sprintf("%.0f s", h.Seconds)))
	}
	writeTable(w, "HELD PREFIX\tTARGETS THAT CRASHED\tFOR", rows)
}

// formatGatewayRevision returns an empty string for a host without a gateway.
func formatGatewayRevision(h hostStatus) string {
	if h.GatewayAddr == "" {
		return ""
	}
	return fmt.Sprint(h.GatewayRevision)
}

func orDash(text string) string {
	if text == "" {
		return "-"
	}
	return text
}
