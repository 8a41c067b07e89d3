package main

import (
	"errors"
	"fmt"
	"os"
	"slices"
	"strings"
	"text/tabwriter"
	"time"

	"github.com/google/renameio/v2"

	"threadsail/internal/archive"
	"threadsail/internal/config"
	"threadsail/internal/pooler"
	"threadsail/internal/protocol/inventory"
	"threadsail/internal/serverlist"
)

type inventoryCmd struct {
	Wire  string   `enum:"mysql,postgres" default:"mysql" help:"Whose servers the files list, mysql or postgres: it sets the port of those that name none."`
	Rooms []string `help:"The server rooms there are. Otherwise those of the configuration that PROXY_CONFIG names; without one any will do."`

	Check   inventoryCheck   `cmd:"" help:"Say what is wrong with a file, or what it lists."`
	Diff    inventoryDiff    `cmd:"" help:"Tell how two files differ; + comes, - goes, ~ changes."`
	Seal    inventorySeal    `cmd:"" help:"Put a seal below a file, or renew it: a pooler takes a sealed file at once."`
	Convert inventoryConvert `cmd:"" help:"Write a file's list down in another form."`
	History inventoryHistory `cmd:"" help:"List the generations kept in a pooler's state folder."`
	Back    inventoryBack    `cmd:"" help:"Write a kept generation back to the file, sealed and confirmed against the newest one."`
}

// rooms are the server rooms that files may name; nil: any.
func (c *inventoryCmd) rooms() ([]string, error) {
	if c.Rooms != nil || os.Getenv("PROXY_CONFIG") == "" {
		return c.Rooms, nil
	}
	cfg, err := config.Load(os.Getenv)
	if err != nil {
		return nil, err
	}
	return cfg.Zones, nil
}

func (c *inventoryCmd) read(path string) (*pooler.List, error) {
	rooms, err := c.rooms()
	if err != nil {
		return nil, err
	}
	return pooler.ReadList(c.Wire, path, rooms)
}

type inventoryCheck struct {
	File string `arg:"" help:"A file of servers: .csv, .tsv, .yaml or .yml."`
}

func (x *inventoryCheck) Run(s streams, c *inventoryCmd) error {
	l, err := c.read(x.File)
	var wrong *serverlist.ListError
	if errors.As(err, &wrong) { // a line each, as compilers do
		for _, p := range wrong.Problems {
			fmt.Fprintf(s.err, "%s: %s\n", x.File, p)
		}
		return fmt.Errorf("%s: %d problems", x.File, len(wrong.Problems)+wrong.Unreported)
	}
	if err != nil {
		return err
	}
	clusters, draining := map[int]bool{}, 0
	for _, m := range l.Servers {
		clusters[m.Cluster] = true
		if serverlist.StateName(m.State) == "draining" {
			draining++
		}
	}
	seal := "no seal"
	if l.Sealed {
		seal = "sealed"
	}
	fmt.Fprintf(s.out, "%s is fine: %d servers in %d clusters, %d draining, %s, digest %s\n", x.File, len(l.Servers), len(clusters),
		draining, seal, serverlist.Digest(l.Servers))
	if !l.Sealed && l.Truncation != "" {
		fmt.Fprintf(s.out, "%s is taken by a pooler only once it is sealed: %s\n", x.File, l.Truncation)
	}
	return nil
}

type inventoryDiff struct {
	Before string `arg:"" help:"The file before."`
	After  string `arg:"" help:"The file after."`
}

func (x *inventoryDiff) Run(s streams, c *inventoryCmd) error {
	before, err := c.read(x.Before)
	if err != nil {
		return err
	}
	after, err := c.read(x.After)
	if err != nil {
		return err
	}
	d := serverlist.Compare(before.Servers, after.Servers)
	for _, line := range d.Lines() {
		fmt.Fprintln(s.out, line)
	}
	if d.Empty() {
		return nil
	}
	return errDiffer
}

type inventorySeal struct {
	File    string `arg:"" help:"The file. It is replaced as a whole."`
	Confirm string `placeholder:"DIGEST" help:"Confirm what the file takes away, compared with the list in force of this digest (16 digits, in the pooler's log and in 'inventory check')."`
}

func (x *inventorySeal) Run(s streams, c *inventoryCmd) error {
	if x.Confirm != "" && (len(x.Confirm) != 16 || strings.Trim(x.Confirm, "0123456789abcdef") != "") {
		return fmt.Errorf("--confirm: %q is no digest of 16 hexadecimal digits", x.Confirm)
	}
	text, err := os.ReadFile(x.File)
	if err != nil {
		return err
	}
	// The old seal does not count: a file that was edited since is what gets sealed anew.
	rooms, err := c.rooms()
	if err != nil {
		return err
	}
	body := inventory.Unsealed(text)
	l, err := pooler.ParseList(c.Wire, x.File, rooms, body)
	if err != nil {
		return err
	}
	if err := replace(x.File, inventory.AppendSeal(body, len(l.Servers), x.Confirm)); err != nil {
		return err
	}
	fmt.Fprintf(s.out, "%s: %d servers sealed, digest %s\n", x.File, len(l.Servers), serverlist.Digest(l.Servers))
	return nil
}

// replace writes a file whole, with the mode that it has.
func replace(path string, text []byte) error {
	return renameio.WriteFile(path, text, 0o644, renameio.WithExistingPermissions())
}

type inventoryConvert struct {
	From string `arg:"" help:"The file to read."`
	To   string `arg:"" help:"The file to write; its ending tells the form."`
	Seal bool   `help:"Seal it."`
}

func (x *inventoryConvert) Run(s streams, c *inventoryCmd) error {
	l, err := c.read(x.From)
	if err != nil {
		return err
	}
	return c.write(s, x.To, l.Servers, x.Seal, "")
}

func (c *inventoryCmd) write(s streams, path string, servers []serverlist.Server, seal bool, confirms string) error {
	text, err := pooler.FormatList(c.Wire, path, servers)
	if err != nil {
		return err
	}
	if seal {
		text = inventory.AppendSeal(text, len(servers), confirms)
	}
	if err := replace(path, text); err != nil {
		return err
	}
	fmt.Fprintf(s.out, "%s: %d servers, digest %s\n", path, len(servers), serverlist.Digest(servers))
	return nil
}

type inventoryHistory struct {
	State string `required:"" type:"path" help:"The pooler's state folder."`
}

// kept reads the generations of a wire, the newest last.
func (c *inventoryCmd) kept(s streams, state string) ([]*serverlist.Generation, error) {
	a, err := archive.OpenExisting(state, c.Wire)
	if err != nil {
		return nil, err
	}
	all, err := a.Load()
	if err != nil { // those that can be read are of use all the same
		fmt.Fprintf(s.err, "threadsail: %v\n", err)
	}
	if len(all) == 0 {
		return nil, fmt.Errorf("%s: no generation of the %s front is kept here", state, c.Wire)
	}
	return all, nil
}

func (x *inventoryHistory) Run(s streams, c *inventoryCmd) error {
	all, err := c.kept(s, x.State)
	if err != nil {
		return err
	}
	w := tabwriter.NewWriter(s.out, 0, 0, 2, ' ', 0)
	fmt.Fprintln(w, "generation\ttaken\tservers\tsealed\tdigest\tchange")
	for i, g := range slices.Backward(all) {
		change := ""
		if i > 0 {
			change = serverlist.Compare(all[i-1].Servers, g.Servers).String()
		}
		fmt.Fprintf(w, "%d\t%s\t%d\t%v\t%s\t%s\n", g.Number, time.Unix(0, int64(g.AcceptedAt)).UTC().Format(time.RFC3339), len(g.Servers),
			g.Sealed, g.Digest, change)
	}
	return w.Flush()
}

type inventoryBack struct {
	State      string `required:"" type:"path" help:"The pooler's state folder."`
	Generation uint64 `help:"The generation to go back to; otherwise the one before the newest."`
	File       string `arg:"" help:"The watched file. It is replaced as a whole."`
}

func (x *inventoryBack) Run(s streams, c *inventoryCmd) error {
	all, err := c.kept(s, x.State)
	if err != nil {
		return err
	}
	newest := all[len(all)-1]
	i := len(all) - 2
	if x.Generation > 0 {
		i = slices.IndexFunc(all, func(g *serverlist.Generation) bool { return g.Number == x.Generation })
	}
	if i < 0 {
		return errors.New("that generation is not kept; see inventory history")
	}
	for _, line := range serverlist.Compare(newest.Servers, all[i].Servers).Lines() {
		fmt.Fprintln(s.out, line)
	}
	return c.write(s, x.File, all[i].Servers, true, newest.Digest)
}
