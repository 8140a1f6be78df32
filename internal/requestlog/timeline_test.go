package requestlog

import (
	"bytes"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"
)

const logs = `  18.01 edge-b {"time":"2026-09-11T11:26:52.9Z","level":"INFO","msg":"ingress: request ended","request":"r1","outcome":"may_have_run"}
  17.98 edge-b {"time":"2026-09-11T11:26:52.8Z","level":"WARN","msg":"plain: send without a good answer","request":"r1","target":"i-3"}
  17.98 edge-b {"time":"2026-09-11T11:26:52.8Z","level":"INFO","msg":"ingress: request ended","request":"r2","outcome":"answered"}
  17.99 edge-b {"time":"2026-09-11T11:26:52.85Z","level":"INFO","msg":"x","lines_left_out":4}
  {"time":"2026-09-11T11:26:52.85Z","level":"WARN","msg":"log: lines dropped because standard output is slow","lines":3}
torn {"time":"2026-09-1
`

func TestTimeline(t *testing.T) {
	r := NewReader("r1")
	require.NoError(t, r.Read("a.log", strings.NewReader(logs)))
	timeline := r.Timeline()
	require.Len(t, timeline.Lines, 2)
	require.Equal(t, "plain: send without a good answer", timeline.Lines[0].Message)
	require.Equal(t, "17.98 edge-b", timeline.Lines[0].Source)
	require.Equal(t, int64(7), timeline.OmittedLines)
	require.Equal(t, 1, timeline.UnreadableLines)
	require.False(t, timeline.MissingEnd)
	var out bytes.Buffer
	timeline.Write(&out)
	require.Contains(t, out.String(), "target=i-3")
	require.Contains(t, out.String(), "gap: the hosts left out 7 lines")
}

func TestTimelineOfUnknownRequest(t *testing.T) {
	r := NewReader("none")
	require.NoError(t, r.Read("a.log", strings.NewReader(logs)))
	timeline := r.Timeline()
	var out bytes.Buffer
	timeline.Write(&out)
	require.Contains(t, out.String(), "no line names request none")
}

// Truncated and interleaved lines must neither stop the reader nor add lines that aren't in
// the log.
func FuzzRead(f *testing.F) {
	f.Add(logs)
	f.Add("{\"request\":\"r1\"}{\"request\":\"r1\"}\n\x00{")
	f.Fuzz(func(t *testing.T, text string) {
		r := NewReader("r1")
		if err := r.Read("a.log", strings.NewReader(text)); err != nil {
			return // a line longer than maxLineBytes
		}
		timeline := r.Timeline()
		require.LessOrEqual(t, len(timeline.Lines), strings.Count(text, "r1"))
		timeline.Write(&bytes.Buffer{})
	})
}
