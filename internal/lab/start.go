package lab

import (
	"bufio"
	"errors"
	"fmt"
	"math/rand/v2"
	"os"
	"os/exec"
	"strings"
	"sync"
	"syscall"
	"time"

	"golang.org/x/sys/unix"

	"threadsail/internal/lab/judge"
	"threadsail/internal/lab/relay"
	"threadsail/internal/lab/standin"
)

// pooler is one process of the pooler, and the times it could not answer.
type pooler struct {
	i   int
	env map[string]string

	mu      sync.Mutex
	cmd     *exec.Cmd
	exited  chan struct{}
	addr    string
	outages []judge.Outage
}

// up is the address of its front, or "" while it is out.
func (p *pooler) up() string {
	p.mu.Lock()
	defer p.mu.Unlock()
	if n := len(p.outages); n > 0 && p.outages[n-1].To.IsZero() {
		return ""
	}
	return p.addr
}

func (p *pooler) goOut() {
	p.mu.Lock()
	defer p.mu.Unlock()
	if n := len(p.outages); n == 0 || !p.outages[n-1].To.IsZero() {
		p.outages = append(p.outages, judge.Outage{Pooler: p.i, From: time.Now()})
	}
}

func (p *pooler) comeBack() {
	p.mu.Lock()
	defer p.mu.Unlock()
	if n := len(p.outages); n > 0 && p.outages[n-1].To.IsZero() {
		p.outages[n-1].To = time.Now()
	}
}

// link opens the relay from pooler i to the server in place j.
func (r *fleetRun) link(i, j int, server *standin.Server) *relay.Link {
	link, err := relay.Listen(server.Addr, r.Scenario.Seed^uint64(i<<16|j))
	if err != nil {
		r.h.Fatal(err)
	}
	r.h.Cleanup(link.Close)
	return link
}

// work has a server take its time over each statement. Without it answers come within fractions of a millisecond, whose
// chance a pooler takes for slowness, and spreads its reads over servers that it would not use.
func (r *fleetRun) work(server *standin.Server) {
	if r.purges.Sites > 0 {
		server.Stamp()
	}
	r.follow(server)
	if w := r.Scenario.ServiceTime; w > 0 {
		server.Do(func(seen standin.Seen) standin.Act {
			w := r.takes(seen, w)
			time.Sleep(w/2 + time.Duration(rand.Int64N(int64(w))))
			return standin.Answer
		})
	}
}

// start starts p's process and waits until its front listens, as its log says.
func (r *fleetRun) start(p *pooler) {
	cmd := r.Command()
	// A group of its own, so that a terminal's interrupt reaches the laboratory alone, which then ends every pooler by its
	// id; and killed with the laboratory's thread if that is killed itself.
	cmd.SysProcAttr = &syscall.SysProcAttr{Setpgid: true, Pdeathsig: syscall.SIGKILL}
	if r.Env != nil {
		cmd.Env = append(cmd.Env, r.Env(p.i)...)
	}
	for k, v := range p.env {
		cmd.Env = append(cmd.Env, k+"="+v)
	}
	out, err := cmd.StderrPipe()
	if err == nil {
		err = cmd.Start()
	}
	if err != nil {
		r.fail(fmt.Sprintf("pooler %d: %v", p.i, err))
		return
	}
	exited := make(chan struct{})
	lines := bufio.NewScanner(out)
	lines.Buffer(make([]byte, 64<<10), 1<<20)
	addr := ""
	var seen strings.Builder
	for addr == "" && lines.Scan() {
		line := lines.Text()
		r.log(p.i, line)
		if seen.Len() < 4096 {
			seen.WriteString(line + "\n")
		}
		if _, rest, ok := strings.Cut(line, `"addr":"`); ok && strings.Contains(line, `"front":"postgres"`) {
			addr, _, _ = strings.Cut(rest, `"`)
		}
	}
	go func() {
		for lines.Scan() { // the pooler must never wait for its reader
			r.log(p.i, lines.Text())
		}
		_ = cmd.Wait()
		close(exited)
	}()
	if addr == "" {
		<-exited
		r.fail(fmt.Sprintf("pooler %d does not serve: %s", p.i, seen.String()))
		return
	}
	p.mu.Lock()
	p.cmd, p.exited, p.addr = cmd, exited, addr
	p.mu.Unlock()
	r.mu.Lock()
	r.starts++
	r.mu.Unlock()
	p.comeBack()
}

func (r *fleetRun) log(i int, line string) {
	r.shards.heard(i, line)
	r.dealer.heard(i, line)
	if r.Logs == nil {
		return
	}
	r.logs.Lock()
	defer r.logs.Unlock()
	if strings.HasPrefix(line, "{") {
		fmt.Fprintf(r.Logs, "{\"pooler\":%d,%s\n", i, line[1:])
	} else {
		fmt.Fprintf(r.Logs, "{\"pooler\":%d,\"text\":%q}\n", i, line)
	}
}

// resident is the resident memory of p's process in MB, as Linux tells it; 0 if it is out or can't be read.
func (p *pooler) resident() float64 {
	p.mu.Lock()
	cmd := p.cmd
	p.mu.Unlock()
	if cmd == nil || cmd.Process == nil {
		return 0
	}
	statm, err := os.ReadFile(fmt.Sprintf("/proc/%d/statm", cmd.Process.Pid))
	var size, pages float64
	if err != nil {
		return 0
	}
	if _, err := fmt.Sscan(string(statm), &size, &pages); err != nil {
		return 0
	}
	return pages * float64(os.Getpagesize()) / (1 << 20)
}

// signal sends sig to p's process, if it runs.
func (p *pooler) signal(sig syscall.Signal) (exited chan struct{}) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.cmd != nil {
		_ = p.cmd.Process.Signal(sig)
	}
	return p.exited
}

// room lets p's process write files, or not: a limit of 0 bytes on the size of its files makes each write fail, as on a full disk,
// those over what is there already too. A process that is started again has room.
func (p *pooler) room(is bool) error {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.cmd == nil {
		return nil
	}
	var limit unix.Rlimit
	err := unix.Prlimit(p.cmd.Process.Pid, unix.RLIMIT_FSIZE, nil, &limit)
	if limit.Cur = 0; is {
		limit.Cur = limit.Max
	}
	if err == nil {
		err = unix.Prlimit(p.cmd.Process.Pid, unix.RLIMIT_FSIZE, &limit, nil)
	}
	if errors.Is(err, unix.ESRCH) { // it has ended
		return nil
	}
	return err
}

// endAll ends every process, and lets stopped ones go on first so that they can end.
func (r *fleetRun) endAll() {
	for _, p := range r.poolers {
		p.signal(syscall.SIGCONT)
		if exited := p.signal(syscall.SIGKILL); exited != nil {
			<-exited
		}
	}
}
