package prove

import (
	"fmt"
	"net/http"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

const (
	// brittleRoom is how many calls a brittle service takes at a time, brittleCallTime how long one
	// takes and brittleRejections how many rejections it bears in a second.
	brittleRoom       = 2
	brittleCallTime   = 100 * time.Millisecond
	brittleRejections = 5
	brittleRestart    = 3 * time.Second
	// brittleFor is how long services are brittle while half as many calls again come as they can serve.
	brittleFor = 12 * time.Second
	// minServedByBrittle is the share of what brittle services can serve that they serve at least.
	minServedByBrittle = 0.5
)

// serviceRoom is the body of PUT and GET /admin/room.
type serviceRoom struct {
	Calls   int           `json:"calls"`
	Brittle int           `json:"brittle"`
	Restart time.Duration `json:"restart_ns"`
	Falls   int           `json:"falls"`
}

// LIMIT: brittle services got calls beyond their room until they failed, one after the other.
func TestGatewaysMakeNoBrittleServiceFail(t *testing.T) {
	t.Parallel()
	defer acquireSlot()()
	summary := ""
	recordResult(t, "brittle services", "more calls than they can serve", &summary)
	const services = 2
	c := startCluster(t, clusterSpec{hosts: 3, engines: 1, services: services})
	for _, s := range c.services {
		callAdmin(t, http.MethodPut, "http://"+s.direct+"/admin/fault", serviceFault{RequestDelay: brittleCallTime})
		callAdmin(t, http.MethodPut, "http://"+s.direct+"/admin/room", serviceRoom{Calls: brittleRoom, Brittle: brittleRejections, Restart: brittleRestart})
	}
	stop := c.sendShortRequests(t, "services")
	<-time.After(brittleFor)
	served, sent := stop()
	falls := 0
	for _, s := range c.services {
		var room serviceRoom
		getJSON(t, "http://"+s.direct+"/admin/room", &room)
		falls += room.Falls
	}
	capacity := services * brittleRoom * brittleFor.Seconds() / brittleCallTime.Seconds()
	summary = fmt.Sprintf("%d falls of %d services, %d of %d calls served, %.0f possible", falls, services, served, sent, capacity)
	require.LessOrEqual(t, float64(falls), 2+0.1*services, summary)
	require.GreaterOrEqual(t, float64(served), minServedByBrittle*capacity, summary)
}
