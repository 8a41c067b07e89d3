package scale

import (
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"os"
	"os/exec"
	"strconv"
	"time"
)

// child is a process of hollow poolers.
type child struct {
	cmd     *exec.Cmd
	asks    io.WriteCloser
	answers *json.Decoder
	poolers []hollow
	base    process // before it had any
}

// startChild starts a process that may use so many cores.
func startChild(cmd *exec.Cmd, cores int) (*child, error) {
	group(cmd)
	cmd.Env = append(cmd.Env, "GOMAXPROCS="+strconv.Itoa(cores))
	cmd.Stderr = os.Stderr // what it panics with
	c := &child{cmd: cmd}
	var err error
	if c.asks, err = cmd.StdinPipe(); err != nil {
		return nil, err
	}
	out, err := cmd.StdoutPipe()
	if err != nil {
		return nil, err
	}
	if err := cmd.Start(); err != nil {
		return nil, err
	}
	c.answers = json.NewDecoder(out)
	return c, nil
}

// ask has the process do something and waits for its answer, or until it is ended.
func (c *child) ask(a ask) (out answer, err error) {
	if err := json.NewEncoder(c.asks).Encode(a); err != nil {
		return out, fmt.Errorf("hollow poolers: %w", err)
	}
	if err := c.answers.Decode(&out); err != nil {
		return out, fmt.Errorf("hollow poolers: %w", err)
	}
	if out.Error != "" {
		err = errors.New(out.Error)
	}
	return out, err
}

// end kills the process.
func (c *child) end() {
	_ = c.cmd.Process.Kill()
	_ = c.cmd.Wait()
}

// restart ends a pooler and starts it again.
func (c *child) restart(h hollow) error {
	_, err := c.ask(ask{Do: doRestart, Poolers: []hollow{h}})
	return err
}

// sample is what its process and its poolers have taken since their start.
func (c *child) sample() (answer, error) { return c.ask(ask{Do: doSample}) }

// sights are the changes that came into force since the last call.
func (c *child) sights() ([]sight, error) {
	out, err := c.ask(ask{Do: doSeen})
	return out.Seen, err
}

// pause waits, unless stop comes first; false: it has come.
func pause(stop <-chan struct{}, d time.Duration) bool {
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-stop:
		return false
	case <-t.C:
		return true
	}
}
