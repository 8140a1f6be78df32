package peers

import (
	"context"
	"time"

	"github.com/rotisserie/eris"

	"corianderhitch/internal/edge/bootclock"
	"corianderhitch/internal/edge/relay"
)

const (
	// maxVouchAge is the oldest vouched confirmation that is of use; a peer without
	// any says an endless age.
	maxVouchAge = time.Hour
	// vouchPeers is how many hosts are asked to vouch at once.
	vouchPeers = 4
)

// Vouch asks other hosts until one has a configuration that was surely the
// newest less than maxAge ago, puts it in force if it is newer, and returns that
// instant.
func (e *Exchange) ConfirmByPeers(ctx context.Context, maxAge time.Duration) (bootclock.Instant, error) {
	answers := make(chan bootclock.Instant, 1)
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	asked := 0
	for _, host := range e.Members.Sample(vouchPeers) {
		asked++
		go func() {
			if asOf, ok := e.ask(ctx, host, maxAge); ok {
				select {
				case answers <- asOf:
				default:
				}
			}
		}()
	}
	select {
	case asOf := <-answers:
		return asOf, nil
	case <-ctx.Done():
		return 0, eris.Errorf("none of %d peers has a confirmation younger than %v", asked, maxAge)
	}
}

func (e *Exchange) ask(ctx context.Context, host relay.Host, maxAge time.Duration) (bootclock.Instant, bool) {
	args := VouchArgs{}
	if p := e.Policy.Current(); p != nil {
		args.Revision = p.Revision
	}
	asked := bootclock.Now()
	reply := new(Confirmation)
	if err := e.call(ctx, host.Name, host.Address, "Vouch", args, reply); err != nil || reply.Age > maxAge {
		return 0, false
	}
	return e.takeVouch(host.Address, asked, reply)
}

// takeVouch puts a peer's configuration in force if it is newer and returns the
// instant as of which it was surely the newest. The peer's age is of a moment
// after the question was sent: what happens to the answer on its way makes the
// instant earlier, never later.
func (e *Exchange) takeVouch(address string, asked bootclock.Instant, v *Confirmation) (bootclock.Instant, bool) {
	if v.Raw != nil {
		accepted, err := e.Policy.ApplyIfNewer(v.Raw, v.Revision)
		if err != nil {
			e.Log.Error("peers: configuration of a peer cannot be read", "address", address, "revision", v.Revision, "error", err.Error())
			return 0, false
		}
		if accepted {
			e.Log.Info("policy: configuration in force", "version", e.Policy.Current().Version, "revision", v.Revision, "source", "peer "+address)
		}
	}
	if p := e.Policy.Current(); p == nil || p.Revision < v.Revision {
		return 0, false
	}
	if v.Age > maxVouchAge {
		return 0, false
	}
	return asked.Add(-v.Age), true
}
