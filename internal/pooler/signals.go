package pooler

import (
	"os"
	"os/signal"
	"syscall"

	"threadsail/internal/config"
)

// SignalControl returns a Control that follows the process's signals: SIGTERM and SIGINT shut the pooler down, SIGHUP has it read
// its configuration again. Its goroutine lives as long as the process.
func SignalControl() Control {
	signals := make(chan os.Signal, 4)
	signal.Ignore(syscall.SIGXFSZ) // a file that may not grow is an error of the write, not the end of the process
	signal.Notify(signals, syscall.SIGTERM, syscall.SIGINT, syscall.SIGHUP)
	terminate, reload := make(chan struct{}), make(chan struct{}, 1)
	go func() {
		for ended := false; ; {
			switch s := <-signals; {
			case s == syscall.SIGHUP:
				select {
				case reload <- struct{}{}:
				default: // one is due already, and will see this change too
				}
			case !ended:
				ended = true
				close(terminate)
			}
		}
	}()
	return Control{Terminate: terminate, Reload: reload,
		Load: func(inForce *config.Config) (*config.Config, error) { return inForce.Reload(os.Getenv) }}
}
