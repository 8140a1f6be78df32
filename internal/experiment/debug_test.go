package experiment

import "testing"

func TestDebug(t *testing.T) {
	s, _ := Load("../../scenarios/churn.yaml")
	arr := Arrivals(&s, 1)
	for _, spec := range Policies() {
		if spec.Name != "least_in_flight" && spec.Name != Ours {
			continue
		}
		r := newRunner(&s, spec, 1)
		_ = r
		debug = func(x *runner) {
			n := 0
			for _, c := range x.all {
				if c.state == callOpen {
					n++
					if n < 10 {
						t.Log(spec.Name, c.ticket, c.target, c.delivered, c.avoid, c.arrival.Output, c.arrival.At)
					}
				}
			}
			for _, sl := range x.slots {
				t.Log(sl.name, sl.up, sl.known, sl.leaving, sl.engine.Status(), sl.engine.CurrentLoad(x.time.now))
			}
			t.Log(x.time.now)
		}
		res := Run(&s, spec, 1, arr)
		t.Logf("%+v", res)
	}
}
