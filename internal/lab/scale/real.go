package scale

import (
	"bufio"
	"errors"
	"fmt"
	"io"
	"net"
	"os/exec"
	"strings"
	"syscall"
	"time"

	"threadsail/internal/fleet/traffic"
)

// doorFor bounds a call at an operators' door.
const doorFor = 5 * time.Second

// realPooler is a process of the pooler.
type realPooler struct {
	name   string
	cmd    *exec.Cmd
	door   string // the operators'
	exited chan struct{}
}

// group has a process be of a group of its own, so that a terminal's interrupt reaches the laboratory alone, which then ends each
// by its id; and killed with the laboratory if that is killed itself.
func group(cmd *exec.Cmd) {
	cmd.SysProcAttr = &syscall.SysProcAttr{Setpgid: true, Pdeathsig: syscall.SIGKILL}
}

// startReal starts a pooler's process and waits until it serves.
func startReal(cmd *exec.Cmd, name string, env map[string]string) (*realPooler, error) {
	group(cmd)
	for k, v := range env {
		cmd.Env = append(cmd.Env, k+"="+v)
	}
	log, err := cmd.StderrPipe()
	if err == nil {
		err = cmd.Start()
	}
	if err != nil {
		return nil, fmt.Errorf("%s: %w", name, err)
	}
	r := &realPooler{name: name, cmd: cmd, exited: make(chan struct{})}
	lines := bufio.NewScanner(log)
	lines.Buffer(make([]byte, 64<<10), 1<<20)
	var seen strings.Builder
	for r.door == "" && lines.Scan() {
		line := lines.Text()
		if seen.Len() < 4096 {
			seen.WriteString(line + "\n")
		}
		if _, rest, ok := strings.Cut(line, `"addr":"`); ok && strings.Contains(line, `"front":"admin"`) {
			r.door, _, _ = strings.Cut(rest, `"`)
		}
	}
	go func() {
		for lines.Scan() { // the pooler must never wait for its reader
		}
		_ = cmd.Wait()
		close(r.exited)
	}()
	if r.door == "" {
		r.end()
		return nil, fmt.Errorf("%s does not serve: %s", name, seen.String())
	}
	return r, nil
}

func (r *realPooler) end() {
	_ = r.cmd.Process.Kill()
	<-r.exited
}

// process is what the pooler's process has taken.
func (r *realPooler) process() process {
	pid := r.cmd.Process.Pid
	return process{CPU: cpu(pid), RSS: resident(pid), Descriptors: descriptors(pid)}
}

// traffic is what its operators' door tells.
func (r *realPooler) traffic() ([]traffic.Count, error) {
	c, err := net.DialTimeout("tcp", r.door, doorFor)
	if err != nil {
		return nil, err
	}
	defer c.Close()
	_ = c.SetDeadline(time.Now().Add(doorFor))
	if _, err := io.WriteString(c, "INFO\n"); err != nil {
		return nil, err
	}
	out, err := parseTraffic(c)
	if err != nil {
		return nil, fmt.Errorf("%s: %w", r.name, err)
	}
	return out, nil
}

// parseTraffic reads the figures of the fleet's traffic up to the end of all figures.
func parseTraffic(in io.Reader) (out []traffic.Count, err error) {
	at := map[string]int{}
	lines := bufio.NewScanner(in)
	for lines.Scan() {
		line := lines.Text()
		if line == "end" {
			return out, nil
		}
		var what, way string
		for _, name := range []string{"bytes", "messages"} {
			if rest, ok := strings.CutPrefix(line, "edge_proxy_fleet_"+name+`{kind="`); ok {
				what, line = name, rest
			}
		}
		if what == "" {
			continue
		}
		kind, rest, _ := strings.Cut(line, `",way="`)
		way, rest, _ = strings.Cut(rest, `"} `)
		var n uint64
		if _, err := fmt.Sscan(rest, &n); err != nil {
			return nil, fmt.Errorf("%q is no figure", lines.Text())
		}
		i, ok := at[kind]
		if !ok {
			i = len(out)
			at[kind] = i
			out = append(out, traffic.Count{Kind: kind})
		}
		switch what + way {
		case "bytesin":
			out[i].BytesIn = n
		case "bytesout":
			out[i].BytesOut = n
		case "messagesin":
			out[i].MessagesIn = n
		case "messagesout":
			out[i].MessagesOut = n
		}
	}
	if err = lines.Err(); err == nil {
		err = errors.New("the door's figures have no end")
	}
	return nil, err
}
