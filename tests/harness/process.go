// Package harness runs programs under test as separate processes, puts
// fault-injecting TCP proxies between them, and allocates loopback ports.
package harness

import (
	"fmt"
	"net"
	"os"
	"os/exec"
	"strconv"
	"sync"
	"syscall"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// DrainTimeout bounds a planned stop of a process whose streams last seconds.
const DrainTimeout = 40 * time.Second

// Process is one program under test. The test that starts it must also end it, usually
// by KillAndShowLog in a cleanup function.
type Process struct {
	Name    string
	Path    string
	Args    []string
	Env     []string // added to the environment of the test
	LogPath string   // file that stdout and stderr are appended to
	Stdout  *os.File // receives stdout instead of the log file unless nil

	mu       sync.Mutex
	cmd      *exec.Cmd     // guarded by mu
	done     chan struct{} // closed when the program has exited
	exitCode int           // valid once done is closed
	ending   bool          // guarded by mu; the current run was sent a signal that ends it
	unasked  []string      // guarded by mu; how the runs ended that nobody ended
}

// Start starts the program and returns without waiting for it.
func (p *Process) Start(t testing.TB) {
	t.Helper()
	file, err := os.OpenFile(p.LogPath, os.O_CREATE|os.O_WRONLY|os.O_APPEND, 0o600)
	require.NoError(t, err)
	defer file.Close()
	cmd := exec.Command(p.Path, p.Args...)
	cmd.Env = append(os.Environ(), p.Env...)
	cmd.Stdout, cmd.Stderr = file, file
	if p.Stdout != nil {
		cmd.Stdout = p.Stdout
	}
	// The kernel kills the program with the test process, even if that is killed.
	cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	require.NoError(t, cmd.Start())
	done := make(chan struct{})
	p.mu.Lock()
	p.cmd, p.done, p.ending = cmd, done, false
	p.mu.Unlock()
	go func() {
		_ = cmd.Wait()
		p.mu.Lock()
		p.exitCode = cmd.ProcessState.ExitCode()
		if !p.ending {
			p.unasked = append(p.unasked, cmd.ProcessState.String())
		}
		p.mu.Unlock()
		close(done)
	}()
}

// Signal sends a signal to the program.
func (p *Process) Signal(s syscall.Signal) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.ending = p.ending || s == syscall.SIGTERM || s == syscall.SIGINT || s == syscall.SIGKILL
	_ = p.cmd.Process.Signal(s)
}

// UnaskedExits returns how those runs of the program ended that no signal ended.
func (p *Process) UnaskedExits() []string {
	p.mu.Lock()
	defer p.mu.Unlock()
	return append([]string(nil), p.unasked...)
}

// Kill kills the program without warning and waits until it has exited.
func (p *Process) Kill() {
	p.Signal(syscall.SIGKILL)
	p.Wait()
}

// Freeze suspends the program with SIGSTOP.
func (p *Process) Freeze() { p.Signal(syscall.SIGSTOP) }

// Thaw resumes a frozen program.
func (p *Process) Thaw() { p.Signal(syscall.SIGCONT) }

// Restart waits until the program has exited and starts it again.
func (p *Process) Restart(t testing.TB) {
	t.Helper()
	p.Wait()
	p.Start(t)
}

// RestartAfter waits until ended is closed and starts the program again, unless
// another caller has restarted it since. It reports whether it started the program.
func (p *Process) RestartAfter(t testing.TB, ended <-chan struct{}) bool {
	t.Helper()
	select {
	case <-ended:
	case <-time.After(DrainTimeout):
		require.FailNowf(t, "process did not exit", "%s within %s", p.Name, DrainTimeout)
	}
	if p.Ended() != ended {
		return false
	}
	p.Start(t)
	return true
}

// Wait blocks until the program has exited.
func (p *Process) Wait() {
	p.mu.Lock()
	done := p.done
	p.mu.Unlock()
	<-done
}

// Ended returns a channel that is closed when the current run of the program has
// exited. A restart makes a new channel.
func (p *Process) Ended() <-chan struct{} {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.done
}

// ExitCode returns the exit code of a program that has exited, -1 if a signal
// ended it.
func (p *Process) ExitCode() int {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.exitCode
}

// ExitReason returns how a program that has exited ended: its exit code, or the signal that
// ended it.
func (p *Process) ExitReason() string {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.cmd.ProcessState.String()
}

// CPUTime returns the user and system time that an exited program used.
func (p *Process) CPUTime() time.Duration {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.cmd.ProcessState.UserTime() + p.cmd.ProcessState.SystemTime()
}

// PID returns the process id of the current run.
func (p *Process) PID() int {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.cmd.Process.Pid
}

// KillAndShowLog kills the program at the end of a test and logs the tail of its
// log file if the test failed.
func (p *Process) KillAndShowLog(t testing.TB) {
	p.Kill()
	if t.Failed() {
		if text, err := os.ReadFile(p.LogPath); err == nil {
			t.Logf("log of %s (last part):\n%s", p.Name, Tail(text, 1200))
		}
	}
}

// Tail returns the last n bytes of text.
func Tail(text []byte, n int) []byte {
	if len(text) > n {
		return text[len(text)-n:]
	}
	return text
}

// Ports of the processes under test lie below the kernel's ephemeral range, so that
// no outgoing connection takes one. Test programs that run at the same time use
// different blocks; each claims its block by listening on the block's first port.
const (
	firstPort  = 1500
	blockPorts = 1000 // more than the clusters of one test program use at once
	portBlocks = 8
)

// ports is the block that this test program has claimed.
var ports struct {
	sync.Mutex
	claim net.Listener // on the first port of the block, so that no other test program takes it
	base  int          // first port of the block
	next  int          // offset of the port given out last
}

// ClaimPorts claims a block of ports that no other test program uses. Call it
// once, before FreeAddress and FreeListener.
func ClaimPorts() error {
	for i := range portBlocks {
		base := firstPort + (os.Getpid()+i)%portBlocks*blockPorts
		listener, err := net.Listen("tcp", fmt.Sprintf("127.0.0.1:%d", base))
		if err == nil {
			ports.claim, ports.base = listener, base
			return nil
		}
	}
	return fmt.Errorf("every block of test ports is in use; end other runs of these tests")
}

// FreeAddress returns a loopback address that nothing listened on when it was
// chosen.
func FreeAddress(t testing.TB) string {
	t.Helper()
	listener := FreeListener(t)
	_ = listener.Close()
	return listener.Addr().String()
}

// FreePorts returns the first of n consecutive free ports of the block that ClaimPorts claimed.
func FreePorts(t testing.TB, n int) int {
	t.Helper()
	for range blockPorts {
		first := 0
		for i := range n {
			_, text, err := net.SplitHostPort(FreeAddress(t))
			require.NoError(t, err)
			port, err := strconv.Atoi(text)
			require.NoError(t, err)
			if i == 0 {
				first = port
			}
			if port != first+i {
				break
			}
			if i == n-1 {
				return first
			}
		}
	}
	t.Fatal("no consecutive free ports on loopback")
	return 0
}

// FreeListener listens on the next free port of the block that ClaimPorts claimed.
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

// PollInterval is the interval at which Await evaluates its condition.
const PollInterval = 20 * time.Millisecond

// Await polls the condition until it holds and returns how long that took. It fails
// the test after the timeout.
func Await(t testing.TB, timeout time.Duration, description string, condition func() bool) time.Duration {
	t.Helper()
	begin := time.Now()
	ticker := time.NewTicker(PollInterval)
	defer ticker.Stop()
	for {
		if condition() {
			return time.Since(begin)
		}
		if time.Since(begin) > timeout {
			require.FailNowf(t, "condition not met in time", "%s within %s", description, timeout)
		}
		<-ticker.C
	}
}
