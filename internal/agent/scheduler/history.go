package scheduler

import (
	"fmt"
	"sync"
	"time"

	"corianderhitch/api/control"
)

// historySize is the number of decisions kept for Control.Explain. Each takes about
// 300 bytes.
const historySize = 4096

// history is a ring buffer of recent decisions. It is safe for concurrent use.
type history struct {
	mu   sync.Mutex
	ring []decision // guarded by mu
	next int        // guarded by mu
}

// decision is one decision about a request, as the line that Explain prints.
type decision struct {
	account   string
	requestID string
	line      string
}

func newHistory() *history { return &history{ring: make([]decision, 0, historySize)} }

func (h *history) add(now time.Time, args control.AdmitArgs, reply control.AdmitReply) {
	if args.RequestID == "" {
		return
	}
	d := decision{account: args.Account, requestID: args.RequestID, line: describe(now, args, reply)}
	h.mu.Lock()
	defer h.mu.Unlock()
	if len(h.ring) < historySize {
		h.ring = append(h.ring, d)
		return
	}
	h.ring[h.next] = d
	h.next = (h.next + 1) % historySize
}

// find returns the lines of a request, oldest first.
func (h *history) find(args control.ExplainArgs) []string {
	h.mu.Lock()
	defer h.mu.Unlock()
	var lines []string
	for i := range h.ring {
		d := h.ring[(h.next+i)%len(h.ring)]
		if d.account == args.Account && d.requestID == args.RequestID {
			lines = append(lines, d.line)
		}
	}
	return lines
}

func describe(now time.Time, args control.AdmitArgs, reply control.AdmitReply) string {
	stamp := now.UTC().Format("15:04:05.000")
	if reply.Granted {
		return fmt.Sprintf("%s ticket %s: granted %s (%s); %s", stamp, args.Ticket, reply.Target.Name, reply.Target.Address, reply.Reason)
	}
	return fmt.Sprintf("%s ticket %s: refused, %s; %s; retry after %s", stamp, args.Ticket, reply.Kind, reply.Detail, reply.RetryAfter)
}
