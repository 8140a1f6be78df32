package cli

import (
	"context"
	"fmt"
	"io"
	"strconv"
	"time"

	"github.com/spf13/cobra"

	"corianderhitch/api/control"
	"corianderhitch/internal/gateway/ids"
)

// releaseResult is the JSON output of release.
type releaseResult struct {
	Prefix string `json:"prefix"`
	Agent  string `json:"agent"` // that tells the others
}

func (a *app) releaseCommand() *cobra.Command {
	return &cobra.Command{
		Use:   "release PREFIX",
		Short: "Release a held beginning of prompts that status shows; its crashes no longer count",
		Args:  cobra.ExactArgs(1),
		RunE: a.runWithTimeout(func(ctx context.Context, args []string) error {
			hash, err := strconv.ParseUint(args[0], 16, 64)
			if err != nil {
				return &usageError{fmt.Sprintf("%q is no prefix; copy one from hitchctl status", args[0])}
			}
			event := control.Event{ID: "released/" + ids.New(), Kind: control.EventReleased, Prefixes: []uint64{hash}, Seen: time.Now()}
			_, address, err := callAnyAgent[control.Empty](ctx, a, "Control.News", control.EventsArgs{News: []control.Event{event}})
			if err != nil {
				return err
			}
			r := releaseResult{Prefix: args[0], Agent: address}
			return a.out.writeResult(r, func(w io.Writer) { fmt.Fprintf(w, "released %s; agent %s tells the others\n", r.Prefix, r.Agent) })
		}),
	}
}
