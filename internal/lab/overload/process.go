package overload

import (
	"bufio"
	"errors"
	"fmt"
	"net"
	"os"
	"os/exec"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"time"
)

const (
	sampleInterval = 10 * time.Millisecond // between two readings of the memory
	stopTimeout    = 6 * time.Second       // from SIGTERM to SIGKILL
	maxLogBytes    = 1 << 20               // kept of a process's log
)

// process is the pooler's process.
type process struct {
	cmd    *exec.Cmd
	addr   string // of its front
	exited chan struct{}

	mu              sync.Mutex // guards the fields below
	output          strings.Builder
	peakKB, anonKB  int
	err             error
	expectedToLeave bool
}

// sharedSocket is a listening socket that processes inherit.
type sharedSocket struct {
	file *os.File // nil: each process opens a socket of its own
}

// newSharedSocket opens a listening socket, if shared is true.
func newSharedSocket(shared bool) (sharedSocket, error) {
	if !shared {
		return sharedSocket{}, nil
	}
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return sharedSocket{}, err
	}
	defer listener.Close() // the file is a duplicate
	file, err := listener.(*net.TCPListener).File()
	return sharedSocket{file}, err
}

// passTo has a program inherit the socket.
func (s sharedSocket) passTo(cmd *exec.Cmd) {
	const firstInherited = 3 // behind standard input, output and error
	if s.file != nil {
		cmd.ExtraFiles = []*os.File{s.file}
		cmd.Env = append(cmd.Env, fmt.Sprintf("PROXY_FD=%d", firstInherited))
	}
}

func (s sharedSocket) close() {
	if s.file != nil {
		_ = s.file.Close()
	}
}

// startProcess starts the program with an environment, and waits until its frontend listens.
func startProcess(cmd *exec.Cmd, env map[string]string, wire string, socket sharedSocket) (*process, error) {
	cmd.SysProcAttr = &syscall.SysProcAttr{Setpgid: true, Pdeathsig: syscall.SIGKILL}
	if cmd.Env == nil {
		cmd.Env = os.Environ()
	}
	for name, value := range env {
		cmd.Env = append(cmd.Env, name+"="+value)
	}
	socket.passTo(cmd)
	log, err := cmd.StderrPipe()
	if err != nil {
		return nil, err
	}
	if err := cmd.Start(); err != nil {
		return nil, err
	}
	p := &process{cmd: cmd, exited: make(chan struct{})}
	lines := bufio.NewScanner(log)
	for p.addr == "" && lines.Scan() {
		p.record(lines.Text())
		if _, rest, ok := strings.Cut(lines.Text(), `"addr":"`); ok && strings.Contains(lines.Text(), `"front":"`+wire+`"`) {
			p.addr, _, _ = strings.Cut(rest, `"`)
		}
	}
	go p.watch(lines)
	if p.addr == "" {
		<-p.exited
		return nil, errors.New("overload: the pooler does not serve: " + p.log())
	}
	go p.sample()
	return p, nil
}

// watch reads the log until the process ends.
func (p *process) watch(lines *bufio.Scanner) {
	for lines.Scan() {
		p.record(lines.Text())
	}
	err := p.cmd.Wait()
	p.mu.Lock()
	if !p.expectedToLeave {
		p.err = fmt.Errorf("overload: the process ended by itself: %w", errors.Join(err, errors.New(p.cmd.ProcessState.String())))
	}
	p.mu.Unlock()
	close(p.exited)
}

func (p *process) record(line string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.output.Len() < maxLogBytes {
		p.output.WriteString(line + "\n")
	}
}

func (p *process) log() string {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.output.String()
}

// sample reads the process's memory until it ends.
func (p *process) sample() {
	path := fmt.Sprintf("/proc/%d/status", p.cmd.Process.Pid)
	ticker := time.NewTicker(sampleInterval)
	defer ticker.Stop()
	for {
		select {
		case <-p.exited:
			return
		case <-ticker.C:
		}
		status, err := os.ReadFile(path)
		if err != nil {
			continue
		}
		p.mu.Lock()
		p.peakKB = max(p.peakKB, statusKB(string(status), "VmHWM:"))
		p.anonKB = max(p.anonKB, statusKB(string(status), "RssAnon:"))
		p.mu.Unlock()
	}
}

// statusKB returns the value of a line of a status file, in KB.
func statusKB(status, name string) int {
	_, rest, _ := strings.Cut(status, name)
	line, _, _ := strings.Cut(rest, "\n")
	kb, _ := strconv.Atoi(strings.TrimSpace(strings.TrimSuffix(strings.TrimSpace(line), "kB")))
	return kb
}

// peak returns the highest resident and anonymous memory so far in MB.
func (p *process) peak() (residentMB, anonymousMB float64) {
	p.mu.Lock()
	defer p.mu.Unlock()
	const kbPerMB = 1 << 10
	return float64(p.peakKB) / kbPerMB, float64(p.anonKB) / kbPerMB
}

// ended returns why the process has ended by itself, or nil.
func (p *process) ended() error {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.err
}

// terminate tells the process to end.
func (p *process) terminate() {
	p.mu.Lock()
	p.expectedToLeave = true
	p.mu.Unlock()
	_ = p.cmd.Process.Signal(syscall.SIGTERM)
}

// stop ends the process: SIGTERM, and SIGKILL after stopTimeout.
func (p *process) stop() {
	p.terminate()
	select {
	case <-p.exited:
	case <-time.After(stopTimeout):
		_ = p.cmd.Process.Kill()
		<-p.exited
	}
}
