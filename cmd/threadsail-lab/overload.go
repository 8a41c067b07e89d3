package main

import (
	"fmt"
	"os"
	"os/exec"
	"strings"
	"time"

	"threadsail/internal/lab/overload"
)

type overloadCmd struct {
	Wire     string        `enum:"postgres,mysql" default:"postgres" help:"Wire of clients and servers: postgres or mysql."`
	Memory   int           `default:"64" help:"The pooler's memory limit in MB."`
	Sockets  int           `default:"1024" help:"The pooler's limit of descriptors."`
	Trouble  string        `help:"Only the troubles whose name contains this."`
	Clients  int           `help:"Clients of the trouble, otherwise as many as it names."`
	Ordinary int           `default:"24" help:"Ordinary clients."`
	Patience time.Duration `help:"Time of ordinary requests, otherwise 400ms, and 2.4s with slow servers."`
	Length   time.Duration `default:"8s" help:"Length of each run."`
	Upgrade  bool          `help:"Halfway a second process takes the socket over, and the first is told to end; PostgreSQL only."`
	Binary   string        `type:"existingfile" default:"bin/threadsail" help:"The pooler to run."`
	Log      bool          `help:"Print the pooler's log too."`
}

type troubleCmd struct{}

// Run plays the clients of one trouble.
func (*troubleCmd) Run() error { return overload.PlayTrouble() }

// Run plays the troubles one after another and prints a line for each.
func (c *overloadCmd) Run() error {
	for _, trouble := range overload.Troubles(c.Wire) {
		if !strings.Contains(trouble.Name, c.Trouble) {
			continue
		}
		err := run(func(b *bench) {
			report := overload.Run{Wire: c.Wire, MemoryMB: c.Memory, Sockets: c.Sockets, Trouble: trouble, Clients: c.Clients,
				Ordinary: c.Ordinary, Patience: c.patience(trouble), Length: c.Length, Upgrade: c.Upgrade,
				Command:      func() *exec.Cmd { return exec.Command(c.Binary, "serve") },
				Troublemaker: func() *exec.Cmd { return exec.Command(os.Args[0], "trouble") }}.Play(b)
			fmt.Println(report)
			if report.Exited != nil {
				fmt.Println(report.Exited)
			}
			if c.Log {
				fmt.Print(report.Log)
			}
		})
		if err != nil {
			return err
		}
	}
	return nil
}

// patience is the time of ordinary requests beside a trouble.
func (c *overloadCmd) patience(trouble overload.Trouble) time.Duration {
	if c.Patience > 0 {
		return c.Patience
	}
	return trouble.Patience()
}
