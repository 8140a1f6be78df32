package streaming

import (
	"errors"
	"net/http"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"corianderhitch/internal/edge/draining"
	"corianderhitch/internal/edge/targets"
)

// slowCaller reads nothing for a while.
type slowCaller struct {
	header  http.Header
	writing chan struct{}
	goOn    chan struct{}
}

func (c *slowCaller) Header() http.Header { return c.header }

func (c *slowCaller) WriteHeader(int) {}

func (c *slowCaller) Write([]byte) (int, error) {
	close(c.writing)
	<-c.goOn
	return 0, errors.New("caller left")
}

func TestSlowCallerMakesEngineLookSilent(t *testing.T) {
	_, r := placingServer(draining.New(placingDrain), silentObserver{}, func() bool { return true })
	caller := &slowCaller{header: make(http.Header), writing: make(chan struct{}), goOn: make(chan struct{})}
	r.w, r.head = caller, make(http.Header)
	event := []byte("id: 1\ndata: x\n\n")
	ended := make(chan error, 1)
	go func() {
		ended <- r.forwardEvents(&segment{target: &targets.Target{ID: "t"}, buffer: event, end: len(event)})
	}()
	<-caller.writing
	time.Sleep(30 * time.Millisecond)
	require.Zero(t, r.SinceLastEvent(), "the engine is not waited for")
	close(caller.goOn)
	require.ErrorIs(t, <-ended, errCallerGone)
	require.Less(t, r.SinceLastEvent(), 20*time.Millisecond)
}
