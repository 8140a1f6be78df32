package drill

import (
	"context"
	"os"
	"path/filepath"
	"strconv"
	"sync"
	"syscall"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/rotisserie/eris"
)

// load is a process that keeps processors busy beside a run.
type load struct{ process *process }

func startLoad(o Options) (*load, error) {
	if o.Load == 0 {
		return &load{}, nil
	}
	path, err := os.Executable()
	if err != nil {
		return nil, eris.Wrap(err, "path of the load process")
	}
	p, err := startProcess(filepath.Join(o.Out, "load.log"), []string{"GOMAXPROCS=" + strconv.Itoa(o.Load)}, path, "drill", "burn", "--loops", strconv.Itoa(o.Load))
	return &load{p}, err
}

func (l *load) stop() {
	if l.process != nil {
		l.process.kill()
	}
}

// burn keeps processors busy until the context ends.
func burn(ctx context.Context, loops int) {
	var wait sync.WaitGroup
	for n := range loops {
		wait.Go(func() {
			for x := uint64(n); ctx.Err() == nil; x++ {
				_ = xxhash.Sum64String(strconv.FormatUint(x, 10))
			}
		})
	}
	wait.Wait()
}

// ownProcessorTime returns the processor time that this process has used.
func ownProcessorTime() time.Duration {
	var u syscall.Rusage
	if syscall.Getrusage(syscall.RUSAGE_SELF, &u) != nil {
		return 0
	}
	return time.Duration(u.Utime.Nano() + u.Stime.Nano())
}
