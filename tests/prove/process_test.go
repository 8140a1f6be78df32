package prove

import (
	"fmt"
	"net"
	"os"
	"os/exec"
	"path/filepath"
	"sync"
	"syscall"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// process is one program under test, ended by id when the test ends.
type process struct {
	name string
	path string
	args []string
	log  string // file with stdout and stderr

	mu   sync.Mutex
	cmd  *exec.Cmd     // guarded by mu
	done chan struct{} // closed when the program has ended
	code int           // exit code, valid after done
}

// launch starts bin/<program> with arguments.
func launch(t testing.TB, dir, name, program string, args ...string) *process {
	t.Helper()
	p := &process{
		name: name,
		path: filepath.Join(binDir, program),
		args: args,
		log:  filepath.Join(dir, name+".log"),
	}
	p.start(t)
	t.Cleanup(func() { p.end(t) })
	return p
}

func (p *process) start(t testing.TB) {
	t.Helper()
	file, err := os.OpenFile(p.log, os.O_CREATE|os.O_WRONLY|os.O_APPEND, 0o600)
	require.NoError(t, err)
	defer file.Close()
	cmd := exec.Command(p.path, p.args...)
	cmd.Stdout, cmd.Stderr = file, file
	// A program dies with the test process, even if that is killed.
	cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	require.NoError(t, cmd.Start())
	done := make(chan struct{})
	p.mu.Lock()
	p.cmd, p.done = cmd, done
	p.mu.Unlock()
	go func() {
		_ = cmd.Wait()
		p.mu.Lock()
		p.code = cmd.ProcessState.ExitCode()
		p.mu.Unlock()
		close(done)
	}()
}

func (p *process) signal(s syscall.Signal) {
	p.mu.Lock()
	defer p.mu.Unlock()
	_ = p.cmd.Process.Signal(s)
}

// kill ends the program as a crash does and waits for its end.
func (p *process) kill() {
	p.signal(syscall.SIGKILL)
	p.wait()
}

func (p *process) freeze() { p.signal(syscall.SIGSTOP) }
func (p *process) thaw()   { p.signal(syscall.SIGCONT) }

// restart starts the program again after its end.
func (p *process) restart(t testing.TB) {
	t.Helper()
	p.wait()
	p.start(t)
}

// restartAfter waits for an end and starts the program again, unless somebody
// else has done so. It tells whether it did.
func (p *process) restartAfter(t testing.TB, ended <-chan struct{}) bool {
	t.Helper()
	select {
	case <-ended:
	case <-time.After(drainLimit):
		require.FailNowf(t, "not ended", "%s within %s", p.name, drainLimit)
	}
	if p.ended() != ended {
		return false
	}
	p.start(t)
	return true
}

func (p *process) wait() {
	p.mu.Lock()
	done := p.done
	p.mu.Unlock()
	<-done
}

// ended returns a channel that is closed when the program has ended.
func (p *process) ended() <-chan struct{} {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.done
}

func (p *process) exitCode() int {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.code
}

func (p *process) end(t testing.TB) {
	p.kill()
	if t.Failed() {
		if text, err := os.ReadFile(p.log); err == nil {
			t.Logf("log of %s (last part):\n%s", p.name, tail(text, 1200))
		}
	}
}

func tail(text []byte, n int) []byte {
	if len(text) > n {
		return text[len(text)-n:]
	}
	return text
}

// Ports of the processes under test lie below the range that the kernel gives
// to outgoing connections. Test programs that run at the same time use
// different blocks of them; each holds its block by listening on the block's
// first port.
const (
	firstPort  = 1500
	blockPorts = 1000 // more than the clusters that run at the same time use
	portBlocks = 8
)

// ports is the block of this test program.
var ports struct {
	sync.Mutex
	held net.Listener
	base int
	next int
}

// claimPorts takes a block that no other test program holds.
func claimPorts() error {
	for i := range portBlocks {
		base := firstPort + (os.Getpid()+i)%portBlocks*blockPorts
		listener, err := net.Listen("tcp", fmt.Sprintf("127.0.0.1:%d", base))
		if err == nil {
			ports.held, ports.base = listener, base
			return nil
		}
	}
	return fmt.Errorf("no block of ports is free; end other runs of these tests")
}

// freeAddress returns a loopback address that nothing listens on.
func freeAddress(t testing.TB) string {
	t.Helper()
	listener := freeListener(t)
	_ = listener.Close()
	return listener.Addr().String()
}

// freeListener listens on a loopback address that nothing listened on.
func freeListener(t testing.TB) net.Listener {
	t.Helper()
	ports.Lock()
	defer ports.Unlock()
	for range blockPorts {
		ports.next = ports.next%(blockPorts-1) + 1
		address := fmt.Sprintf("127.0.0.1:%d", ports.base+ports.next)
		if listener, err := net.Listen("tcp", address); err == nil {
			return listener
		}
	}
	t.Fatal("no free port on loopback")
	return nil
}

// pollInterval is how often await looks at its condition.
const pollInterval = 20 * time.Millisecond

// await waits until the condition holds and returns how long that took.
func await(t testing.TB, limit time.Duration, what string, condition func() bool) time.Duration {
	t.Helper()
	begin := time.Now()
	ticker := time.NewTicker(pollInterval)
	defer ticker.Stop()
	for {
		if condition() {
			return time.Since(begin)
		}
		if time.Since(begin) > limit {
			require.FailNowf(t, "not reached in time", "%s within %s", what, limit)
		}
		<-ticker.C
	}
}
