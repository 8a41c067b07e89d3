package main

import (
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net"
	"os"
	"os/exec"
	"path/filepath"
	"regexp"
	"strings"
	"sync"
	"syscall"
	"time"
)

// record is the file of what was sent, answered and run.
type record struct {
	mu    sync.Mutex
	file  *os.File
	start time.Time
}

func newRecord(path string) (*record, error) {
	file, err := os.Create(path)
	return &record{file: file, start: time.Now()}, err
}

func (r *record) line(format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	fmt.Fprintf(r.file, "%9.4f %s\n", time.Since(r.start).Seconds(), fmt.Sprintf(format, args...))
}

// freeAddr returns a loopback address whose port is free.
func freeAddr() (string, error) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return "", err
	}
	defer l.Close()
	return l.Addr().String(), nil
}

// pooler is one process of the project's program, started by the deploy file's command.
type pooler struct {
	cmd    *exec.Cmd
	exited chan error
}

// deployRun returns the command of the deploy file that starts one pooler.
func deployRun(root string) (string, error) {
	text, err := os.ReadFile(filepath.Join(root, "deploy", "balancer.toml"))
	if err != nil {
		return "", err
	}
	m := regexp.MustCompile(`(?m)^run = "(.*)"$`).FindSubmatch(text)
	if m == nil {
		return "", errors.New("deploy/balancer.toml: no run")
	}
	return string(m[1]), nil
}

// startPooler writes the files into dir, and starts a pooler in a process group of its own, with its log in dir. files holds JSON
// values by variable; each is written to a file that the variable names.
func startPooler(root, dir string, files map[string]any) (*pooler, error) {
	run, err := deployRun(root)
	if err != nil {
		return nil, err
	}
	tmp := filepath.Join(dir, "tmp")
	if err := os.MkdirAll(tmp, 0o755); err != nil {
		return nil, err
	}
	log, err := os.Create(filepath.Join(dir, "pooler.log"))
	if err != nil {
		return nil, err
	}
	cmd := exec.Command("/bin/sh", "-c", run)
	cmd.Dir = root
	cmd.Stdout, cmd.Stderr = log, log
	cmd.Env = append(cleanEnv(), "TMPDIR="+tmp)
	for name, value := range files {
		path := filepath.Join(dir, strings.ToLower(name)+".json")
		if err := writeJSON(path, value); err != nil {
			return nil, err
		}
		cmd.Env = append(cmd.Env, name+"="+path)
	}
	cmd.SysProcAttr = &syscall.SysProcAttr{Setpgid: true, Pdeathsig: syscall.SIGKILL}
	if err := cmd.Start(); err != nil {
		return nil, err
	}
	p := &pooler{cmd: cmd, exited: make(chan error, 1)}
	go func() { p.exited <- cmd.Wait(); close(p.exited) }()
	return p, nil
}

// cleanEnv is this process's environment without the variables of a pooler.
func cleanEnv() []string {
	var env []string
	for _, v := range os.Environ() {
		if !strings.HasPrefix(v, "PROXY_") && !strings.HasPrefix(v, "TMPDIR=") {
			env = append(env, v)
		}
	}
	return env
}

func writeJSON(path string, value any) error {
	text, err := json.MarshalIndent(value, "", " ")
	if err != nil {
		return err
	}
	return os.WriteFile(path, text, 0o644)
}

func (p *pooler) pid() int { return p.cmd.Process.Pid }

// stop ends the pooler: SIGTERM, and SIGKILL 5 s later.
func (p *pooler) stop() {
	_ = p.cmd.Process.Signal(syscall.SIGCONT)
	_ = p.cmd.Process.Signal(syscall.SIGTERM)
	select {
	case <-p.exited:
	case <-time.After(5 * time.Second):
		_ = p.cmd.Process.Kill()
		<-p.exited
	}
}

// kill ends the pooler at once.
func (p *pooler) kill() {
	_ = p.cmd.Process.Kill()
	<-p.exited
}

// waitUntil calls ready until it returns nil, for at most limit.
func waitUntil(limit time.Duration, ready func() error) error {
	end := time.Now().Add(limit)
	for {
		err := ready()
		if err == nil || time.Now().After(end) {
			return err
		}
		time.Sleep(20 * time.Millisecond)
	}
}

func copyAll(w io.Writer, b []byte) error {
	_, err := w.Write(b)
	return err
}
