package drill

import (
	"os"
	"os/exec"
	"syscall"
	"time"

	"github.com/rotisserie/eris"
)

// process is a program that the drill has started.
type process struct {
	cmd      *exec.Cmd
	done     chan struct{} // closed when it has exited
	recorded chan struct{} // closed by its owner when its exit is in the record
}

// startProcess starts a program whose output goes to a file.
func startProcess(logPath string, environment []string, path string, args ...string) (*process, error) {
	file, err := os.OpenFile(logPath, os.O_CREATE|os.O_WRONLY|os.O_APPEND, 0o600)
	if err != nil {
		return nil, eris.Wrapf(err, "log of %s", path)
	}
	defer file.Close()
	cmd := exec.Command(path, args...)
	cmd.Env = append(os.Environ(), environment...)
	cmd.Stdout, cmd.Stderr = file, file
	// The kernel kills the program with the drill, even if that is killed.
	cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	if err := cmd.Start(); err != nil {
		return nil, eris.Wrapf(err, "start %s", path)
	}
	p := &process{cmd: cmd, done: make(chan struct{}), recorded: make(chan struct{})}
	go func() {
		_ = cmd.Wait()
		close(p.done)
	}()
	return p, nil
}

func (p *process) signal(s syscall.Signal) { _ = p.cmd.Process.Signal(s) }

// kill kills the program and waits until it has exited.
func (p *process) kill() {
	p.signal(syscall.SIGKILL)
	<-p.done
}

func (p *process) hasExited() bool {
	select {
	case <-p.done:
		return true
	default:
		return false
	}
}

// processorTime returns the processor time of a program that has exited.
func (p *process) processorTime() time.Duration {
	return p.cmd.ProcessState.SystemTime() + p.cmd.ProcessState.UserTime()
}
