package cli

import (
	"context"
	"io"
	"os"

	"github.com/spf13/cobra"

	"corianderhitch/internal/requestlog"
)

func (a *app) storyCommand() *cobra.Command {
	return &cobra.Command{
		Use:   "story REQUEST-ID [LOG-FILE...]",
		Short: "Print the timeline of a request from the logs of all hosts (standard input without files)",
		Args:  cobra.MinimumNArgs(1),
		RunE: a.runWithTimeout(func(_ context.Context, args []string) error {
			return a.showTimeline(args[0], args[1:])
		}),
	}
}

// showTimeline prints the timeline of a request from log files.
func (a *app) showTimeline(request string, files []string) error {
	reader := requestlog.NewReader(request)
	if err := readLogs(reader, files); err != nil {
		return err
	}
	s := reader.Timeline()
	return a.out.writeResult(s, func(w io.Writer) { s.Write(w) })
}

// readLogs reads the named files; "-" means standard input, as does an empty list.
func readLogs(reader *requestlog.Reader, files []string) error {
	if len(files) == 0 {
		return reader.Read("stdin", os.Stdin)
	}
	for _, name := range files {
		if name == "-" {
			if err := reader.Read("stdin", os.Stdin); err != nil {
				return err
			}
			continue
		}
		file, err := os.Open(name)
		if err != nil {
			return err
		}
		err = reader.Read(name, file)
		_ = file.Close()
		if err != nil {
			return err
		}
	}
	return nil
}
