// Package harness runs programs under test as processes of their own, puts proxies
// that disturb connections between them, and gives out loopback ports.
package harness

import (
	"fmt"
	"net"
	"os"
	"os/exec"
	"sync"
	"syscall"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// DrainLimit bounds a planned stop of a process whose streams last seconds.
const DrainLimit = 40 * time.Second

// Process is one program under test, ended by id when the test ends.
type Process struct {
	Name string
	Path string
	Args []string
	Env  []string // beside those of the test
	Log  string   // file with stdout and stderr
	Out  *os.File // gets stdout instead of the file; nil for none

	mu   sync.Mutex
	cmd  *exec.Cmd     // guarded by mu
	done chan struct{} // closed when the program has ended
	code int           // exit code, valid after done
}

// Start runs the program.
func (p *Process) Start(t testing.TB) {
	t.Helper()
	file, err := os.OpenFile(p.Log, os.O_CREATE|os.O_WRONLY|os.O_APPEND, 0o600)
	require.NoError(t, err)
	defer file.Close()
	cmd := exec.Command(p.Path, p.Args...)
	cmd.Env = append(os.Environ(), p.Env...)
	cmd.Stdout, cmd.Stderr = file, file
	if p.Out != nil {
		cmd.Stdout = p.Out
	}
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

// Signal sends a signal to the program.
func (p *Process) Signal(s syscall.Signal) {
	p.mu.Lock()
	defer p.mu.Unlock()
	_ = p.cmd.Process.Signal(s)
}

// Kill ends the program as a crash does and waits for its end.
func (p *Process) Kill() {
	p.Signal(syscall.SIGKILL)
	p.Wait()
}

// Freeze suspends the program.
func (p *Process) Freeze() { p.Signal(syscall.SIGSTOP) }

// Thaw lets the program go on.
func (p *Process) Thaw() { p.Signal(syscall.SIGCONT) }

// Restart starts the program again after its end.
func (p *Process) Restart(t testing.TB) {
	t.Helper()
	p.Wait()
	p.Start(t)
}

// RestartAfter waits for an end and starts the program again, unless somebody
// else has done so. It tells whether it did.
func (p *Process) RestartAfter(t testing.TB, ended <-chan struct{}) bool {
	t.Helper()
	select {
	case <-ended:
	case <-time.After(DrainLimit):
		require.FailNowf(t, "not ended", "%s within %s", p.Name, DrainLimit)
	}
	if p.Ended() != ended {
		return false
	}
	p.Start(t)
	return true
}

// Wait returns when the program has ended.
func (p *Process) Wait() {
	p.mu.Lock()
	done := p.done
	p.mu.Unlock()
	<-done
}

// Ended returns a channel that is closed when the program has ended.
func (p *Process) Ended() <-chan struct{} {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.done
}

// ExitCode returns how the program ended, -1 for a signal.
func (p *Process) ExitCode() int {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.code
}

// CPU returns the processor time that the program took, after its end.
func (p *Process) CPU() time.Duration {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.cmd.ProcessState.UserTime() + p.cmd.ProcessState.SystemTime()
}

// PID returns the process id.
func (p *Process) PID() int {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.cmd.Process.Pid
}

// End ends the program at the end of a test and shows the last of its log if the
// test failed.
func (p *Process) End(t testing.TB) {
	p.Kill()
	if t.Failed() {
		if text, err := os.ReadFile(p.Log); err == nil {
			t.Logf("log of %s (last part):\n%s", p.Name, Tail(text, 1200))
		}
	}
}

// Tail returns the last n bytes of a log.
func Tail(text []byte, n int) []byte {
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

// ClaimPorts takes a block that no other test program holds.
func ClaimPorts() error {
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

// FreeAddress returns a loopback address that nothing listens on.
func FreeAddress(t testing.TB) string {
	t.Helper()
	listener := FreeListener(t)
	_ = listener.Close()
	return listener.Addr().String()
}

// FreeListener listens on a port of the block that ClaimPorts claimed.
func FreeListener(t testing.TB) net.Listener {
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

// PollInterval is how often Await looks at its condition.
const PollInterval = 20 * time.Millisecond

// Await waits until the condition holds and returns how long that took.
func Await(t testing.TB, limit time.Duration, what string, condition func() bool) time.Duration {
	t.Helper()
	begin := time.Now()
	ticker := time.NewTicker(PollInterval)
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
