package scalepooler

import (
	"bufio"
	"bytes"
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"os"
	"os/exec"
	"strconv"
	"strings"
	"syscall"
	"time"

	"golang.org/x/sys/unix"
)

// process is the one process of the pooler that runs.
type process struct {
	cmd    *exec.Cmd
	front  string
	admin  string
	began  time.Time
	served time.Duration // from its start until its front listens
	ended  chan struct{}
	log    []string // its last lines, once it has ended
}

// start starts the pooler and waits until it serves. The context's end kills it.
func (r *run) start(ctx context.Context) (*process, error) {
	p := &process{cmd: r.Command(), ended: make(chan struct{})}
	// A group of its own, so that a terminal's interrupt reaches this program alone; and it is killed with it.
	p.cmd.SysProcAttr = &syscall.SysProcAttr{Setpgid: true, Pdeathsig: syscall.SIGKILL}
	if p.cmd.Env == nil {
		p.cmd.Env = os.Environ()
	}
	for k, v := range r.fleet.Env {
		p.cmd.Env = append(p.cmd.Env, k+"="+v)
	}
	out, err := p.cmd.StderrPipe()
	if err != nil {
		return nil, err
	}
	p.began = time.Now()
	if err := p.cmd.Start(); err != nil {
		return nil, err
	}
	stop := context.AfterFunc(ctx, func() { _ = p.cmd.Process.Kill() })
	up := make(chan struct{})
	go func() {
		defer stop()
		lines := bufio.NewScanner(out)
		for lines.Scan() { // it must never wait for its reader
			line := lines.Text()
			if p.log = append(p.log, line); len(p.log) > 50 {
				p.log = p.log[1:]
			}
			_, rest, ok := strings.Cut(line, `"addr":"`)
			addr, _, _ := strings.Cut(rest, `"`)
			switch {
			case ok && p.front == "" && strings.Contains(line, `"front":"postgres"`):
				p.front, p.served = addr, time.Since(p.began)
			case ok && p.admin == "" && strings.Contains(line, `"front":"admin"`):
				p.admin = addr
				close(up)
			}
		}
		_, _ = io.Copy(io.Discard, out)
		_ = p.cmd.Wait()
		close(p.ended)
	}()
	select {
	case <-up:
		return p, nil
	case <-p.ended:
		return nil, errors.Join(context.Cause(ctx), fmt.Errorf("the pooler does not serve: %s", strings.Join(p.log, "\n")))
	}
}

// end kills the process and waits until it has gone.
func (p *process) end() {
	_ = p.cmd.Process.Kill()
	<-p.ended
}

// rss is its resident memory in bytes.
func (p *process) rss() (float64, error) {
	statm, err := os.ReadFile(fmt.Sprintf("/proc/%d/statm", p.cmd.Process.Pid))
	if err != nil {
		return 0, err
	}
	var size, pages float64
	if _, err := fmt.Sscan(string(statm), &size, &pages); err != nil {
		return 0, err
	}
	return pages * float64(os.Getpagesize()), nil
}

// cpu is the processor time that it has taken so far, in seconds: its own clock tells it in ns, where /proc/PID/stat counts
// hundredths of a second.
func (p *process) cpu() (float64, error) {
	const schedule = 2 // CPUCLOCK_SCHED, of a whole process
	var at unix.Timespec
	if err := unix.ClockGettime(int32(^p.cmd.Process.Pid<<3|schedule), &at); err != nil {
		return 0, fmt.Errorf("the pooler's processor time: %w", err)
	}
	return float64(at.Nano()) / 1e9, nil
}

// spent is the processor time that it takes while do runs, in seconds, and how long that was.
func (p *process) spent(do func() error) (cpu, took float64, err error) {
	before, err := p.cpu()
	if err != nil {
		return 0, 0, err
	}
	began := time.Now()
	if err := do(); err != nil {
		return 0, 0, err
	}
	took = time.Since(began).Seconds()
	after, err := p.cpu()
	return after - before, took, err
}

// figure asks the operators' door for one of its figures.
func (p *process) figure(name string) (float64, error) {
	c, err := net.DialTimeout("tcp", p.admin, 5*time.Second)
	if err != nil {
		return 0, err
	}
	defer c.Close()
	_ = c.SetDeadline(time.Now().Add(5 * time.Second))
	if _, err := io.WriteString(c, "INFO\n"); err != nil {
		return 0, err
	}
	text, err := io.ReadAll(c)
	if err != nil {
		return 0, err
	}
	for line := range bytes.Lines(text) {
		if key, value, ok := strings.Cut(strings.TrimSpace(string(line)), " "); ok && key == "edge_proxy_"+name {
			return strconv.ParseFloat(value, 64)
		}
	}
	return 0, fmt.Errorf("the operators' door tells no %s", name)
}

// tail ends the process and gives its last lines.
func (p *process) tail() string {
	p.end()
	return strings.Join(p.log, "\n")
}
