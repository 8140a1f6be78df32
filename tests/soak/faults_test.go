package soak

import (
	"net/http"
	"sync"
	"time"

	"corianderhitch/internal/platform/memstore"
	"corianderhitch/platform/standin"
	"corianderhitch/tests/harness"
)

// Kinds of troubles that checks refer to.
const (
	plannedStop = "planned stop"
	hangup      = "hangup"
)

// between is how often a fault begins, on average; each lasts longer, so that
// they overlap.
const between = 300 * time.Millisecond

// fault is one kind of disturbance. It blocks while it lasts.
type fault struct {
	name string
	play func(w *world, d draws)
}

// draws are the random choices of one fault, taken beforehand by the goroutine
// that owns the random numbers.
type draws struct {
	pick int
	long time.Duration // from 0.2 to 3 s
	mode harness.Mode
}

var faults = []fault{
	{"crash", func(w *world, d draws) {
		h := w.host(d)
		w.troubles.during(h.name, "crash", func() { w.crash(h, d.long/3) })
	}},
	{"freeze", func(w *world, d draws) {
		h := w.host(d)
		w.troubles.during(h.name, "freeze", func() { h.freeze(d.long) })
	}},
	{plannedStop, func(w *world, d draws) {
		h := w.host(d)
		w.troubles.during(h.name, plannedStop, func() { w.stop(h) })
	}},
	{hangup, func(w *world, d draws) { w.hangup(w.host(d)) }},
	{"store path", func(w *world, d draws) {
		h := w.host(d)
		w.troubles.during(h.name, "store path", func() { disturb(h.store, d) })
	}},
	{"store path", func(w *world, d draws) {
		h := w.host(d)
		w.troubles.during(h.name, "store path", func() { disturb(h.store, d) })
	}},
	{"store down", func(w *world, d draws) { w.storeFault(memstore.Fault{Outage: true}, d.long) }},
	{"store slow", func(w *world, d draws) { w.storeFault(memstore.Fault{RequestDelay: d.long / 8}, d.long) }},
	{"store loses answers", func(w *world, d draws) { w.storeFault(memstore.Fault{LoseAnswers: 0.5}, d.long) }},
	{"target path", func(w *world, d draws) { w.targetPath(engines, d) }},
	{"target path", func(w *world, d draws) { w.targetPath(desk, d) }},
	{"engine drains", func(w *world, d draws) { w.replace(engines, d, w.drain) }},
	{"engine drains", func(w *world, d draws) { w.replace(engines, d, w.drain) }},
	{"engine crashes", func(w *world, d draws) { w.replace(engines, d, w.end) }},
	{"desk drains", func(w *world, d draws) { w.replace(desk, d, w.drain) }},
	{"desk fails", func(w *world, d draws) { w.misbehave(d) }},
	{"configuration", func(w *world, _ draws) { w.configure() }},
	{"key withdrawn", func(w *world, _ draws) { w.withdraw() }},
}

// disturb plays faults for a while and waits until the last one is over.
func (w *world) disturb(lasts time.Duration) {
	var wait sync.WaitGroup
	for end := time.Now().Add(lasts); time.Now().Before(end); {
		f := faults[w.random.IntN(len(faults))]
		d := draws{
			pick: w.random.Int(), long: 200*time.Millisecond + time.Duration(w.random.Float64()*float64(2800*time.Millisecond)),
			mode: []harness.Mode{harness.Pass, harness.Stall, harness.StallUp, harness.StallDown, harness.Refuse}[w.random.IntN(5)],
		}
		wait.Go(func() { f.play(w, d) })
		time.Sleep(time.Duration(w.random.ExpFloat64() * float64(between)))
	}
	wait.Wait()
}

// heal ends what a fault may have left behind.
func (w *world) heal() {
	w.setFault(memstore.Fault{})
	w.mu.Lock()
	defer w.mu.Unlock()
	for _, h := range w.hosts {
		h.store.Set(harness.Pass)
		h.store.SetDelay(0)
	}
	for _, t := range w.targets {
		t.proxy.Set(harness.Pass)
		t.proxy.SetDelay(0)
		if t.desk != nil {
			t.desk.SetHandler(nil)
		}
	}
}

func (w *world) host(d draws) *host { return w.hosts[d.pick%len(w.hosts)] }

// disturb delays, stalls or refuses connections, or resets those that are open.
func disturb(p *harness.Proxy, d draws) {
	switch d.mode {
	case harness.Pass:
		p.SetDelay(d.long / 20)
	case harness.Refuse:
		p.Cut()
		p.Set(d.mode)
	default:
		p.Set(d.mode)
	}
	time.Sleep(d.long)
	p.SetDelay(0)
	p.Set(harness.Pass)
}

func (w *world) storeFault(f memstore.Fault, long time.Duration) {
	w.troubles.during(theStore, "store", func() {
		w.setFault(f)
		time.Sleep(long)
		w.setFault(memstore.Fault{})
	})
}

func (w *world) targetPath(service string, d draws) {
	if live := w.live(service); len(live) > 0 {
		t := live[d.pick%len(live)]
		w.troubles.during(t.id, "target path", func() { disturb(t.proxy, d) })
	}
}

// replace adds a target and ends another one in its way.
func (w *world) replace(service string, d draws, end func(*target)) {
	live := w.live(service)
	t := live[d.pick%len(live)]
	w.mu.Lock()
	taken := !t.drained.IsZero() || t.gone
	w.mu.Unlock()
	if taken || len(live) < 2 {
		return
	}
	if service == engines {
		w.addEngine()
	} else {
		w.addDesk(service)
	}
	w.troubles.during(t.id, "leaves", func() { end(t) })
}

// misbehave makes a desk fail, or break off without an answer.
func (w *world) misbehave(d draws) {
	live := w.live(desk)
	t := live[d.pick%len(live)]
	w.troubles.during(t.id, "fails", func() {
		t.desk.SetHandler(func(rw http.ResponseWriter, r *http.Request) {
			if d.pick%2 == 0 {
				panic(http.ErrAbortHandler)
			}
			standin.Fail(rw, r)
		})
		time.Sleep(d.long)
		t.desk.SetHandler(nil)
	})
}
