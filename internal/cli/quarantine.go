package cli

import (
	"context"
	"fmt"
	"io"
	"time"

	"github.com/rotisserie/eris"
	"github.com/spf13/cobra"

	"corianderhitch/api/control"
)

// holdsResult is the JSON output of quarantine list. Ages are in milliseconds.
type holdsResult struct {
	Host  string       `json:"host"`
	Holds []holdResult `json:"holds"`
}

type holdResult struct {
	Key      string        `json:"key"`
	LeftMs   int64         `json:"left_ms"` // negative on probation
	Survived bool          `json:"survived"`
	Crashes  []crashResult `json:"crashes"`
}

type crashResult struct {
	Target string `json:"target"`
	Host   string `json:"host"`
	AgeMs  int64  `json:"age_ms"`
}

func (a *app) quarantineCommand() *cobra.Command {
	cmd := &cobra.Command{Use: "quarantine", Short: "Show and release what is held back because targets crashed under it (--agent names edge hosts)"}
	cmd.AddCommand(&cobra.Command{
		Use:   "list",
		Short: "List what an edge host holds back, why and until when",
		Args:  cobra.NoArgs,
		RunE: a.runWithTimeout(func(ctx context.Context, _ []string) error {
			reply, _, err := callAnyAgent[control.HoldsReply](ctx, a, "Peer.Holds", control.HoldsArgs{})
			if err != nil {
				return err
			}
			r := newHoldsResult(&reply)
			return a.out.writeResult(r, func(w io.Writer) { writeHolds(w, r) })
		}),
	}, &cobra.Command{
		Use:   "release KEY",
		Short: "Release a key, such as part:4f1c, on all hosts",
		Args:  cobra.ExactArgs(1),
		RunE: a.runWithTimeout(func(ctx context.Context, args []string) error {
			reply, address, err := callAnyAgent[control.ReleaseReply](ctx, a, "Peer.Release", control.ReleaseArgs{Key: args[0]})
			if err != nil {
				return err
			}
			if !reply.Released {
				return eris.Errorf("the host at %s does not hold %s back; see hitchctl quarantine list", address, args[0])
			}
			return a.out.writeResult(reply, func(w io.Writer) { fmt.Fprintf(w, "released %s\n", args[0]) })
		}),
	})
	return cmd
}

func newHoldsResult(reply *control.HoldsReply) holdsResult {
	r := holdsResult{Host: reply.Host, Holds: []holdResult{}}
	for _, h := range reply.Holds {
		hold := holdResult{Key: h.Key, LeftMs: h.Left.Milliseconds(), Survived: h.Survived, Crashes: []crashResult{}}
		for _, c := range h.Crashes {
			hold.Crashes = append(hold.Crashes, crashResult{Target: c.Target, Host: c.Host, AgeMs: c.Age.Milliseconds()})
		}
		r.Holds = append(r.Holds, hold)
	}
	return r
}

func writeHolds(w io.Writer, r holdsResult) {
	if len(r.Holds) == 0 {
		fmt.Fprintf(w, "%s holds nothing back\n", r.Host)
		return
	}
	for _, h := range r.Holds {
		left := time.Duration(h.LeftMs) * time.Millisecond
		until := "for " + left.Round(time.Second).String() + " more"
		if left <= 0 {
			until = "on probation"
		}
		fmt.Fprintf(w, "%s: held back %s; targets crashed under it:\n", h.Key, until)
		rows := make([]string, 0, len(h.Crashes))
		for _, c := range h.Crashes {
			rows = append(rows, joinCells(c.Target, c.Host, (time.Duration(c.AgeMs)*time.Millisecond).String()))
		}
		writeTable(w, "target\tsent by host\tago", rows)
	}
}
