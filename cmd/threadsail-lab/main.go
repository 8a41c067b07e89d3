// Command threadsail-lab is the project's laboratory: it starts stand-in servers, a pooler and clients on loopback, and shows what
// becomes of the requests. It is no part of a deployment.
package main

import (
	"bufio"
	"errors"
	"fmt"
	"os"
	"os/exec"
	"os/signal"
	"strings"
	"syscall"
	"time"

	"cuelang.org/go/cue"
	"cuelang.org/go/cue/cuecontext"
	cuejson "cuelang.org/go/encoding/json"
	"github.com/alecthomas/kong"
	"github.com/rs/zerolog"

	"threadsail/internal/config"
	"threadsail/internal/lab"
	"threadsail/internal/pooler"
	"threadsail/internal/translate"
)

type commands struct {
	Demo          demoCmd          `cmd:"" help:"Start servers, a pooler and clients, kill the primary once, and show what came of it; it ends by itself."`
	Rewrite       rewriteCmd       `cmd:"" help:"Rewrite a watched server file again and again under load, one time in five with something bad."`
	Record        recordCmd        `cmd:"" help:"Pass one MySQL client on to a front, and write its session to a file."`
	Replay        replayCmd        `cmd:"" help:"Play a recorded session against a front, and compare the answers field by field."`
	Compatibility compatibilityCmd `cmd:"" help:"Write the page that says what is translated."`
	Schema        schemaCmd        `cmd:"" help:"Check an operators' file against its CUE schema."`
	Fleet         fleetCmd         `cmd:"" help:"Start many poolers among stand-in servers, put a scenario's faults between them, and judge what came of it."`
	Overload      overloadCmd      `cmd:"" help:"Play clients and servers that misbehave against one pooler, and print what became of ordinary clients and of its memory."`
	Capacity      capacityCmd      `cmd:"" help:"Print what a fleet of the size that is coming takes, by what was recorded, or write it into the page."`
	ScalePooler   scalePoolerCmd   `cmd:"" help:"Measure what one pooler costs for each client, server, group and statement; it decides nothing."`
	Scale         scaleCmd         `cmd:"" help:"Measure what one more pooler costs its fleet: a few real poolers and many hollow ones."`
	ScaleHollow   scaleHollowCmd   `cmd:"" hidden:"" help:"Run hollow poolers as the laboratory asks on standard input."`
	Trouble       troubleCmd       `cmd:"" hidden:"" help:"Play the clients of one trouble, as overload asks in the environment."`
	Pooler        poolerCmd        `cmd:"" hidden:"" help:"Run the pooler; its front's address is the first line of its output."`
}

func main() {
	var cli commands
	ctx := kong.Parse(&cli, kong.Name("threadsail-lab"), kong.Description("The laboratory: stand-in servers, a pooler and clients on loopback."),
		kong.ConfigureHelp(kong.HelpOptions{Compact: true}))
	if err := ctx.Run(); err != nil {
		fmt.Fprintf(os.Stderr, "threadsail-lab: %v\n", err)
		os.Exit(1)
	}
}

// bench is the host of an experiment: what it starts ends with it.
type bench struct{ cleanups []func() }

type failure struct{ error }

// run runs an experiment and ends all that it has started.
func run(experiment func(b *bench)) (err error) {
	b := &bench{}
	defer func() {
		for i := len(b.cleanups) - 1; i >= 0; i-- {
			b.cleanups[i]()
		}
		if f, ok := recover().(failure); ok {
			err = f.error
		}
	}()
	experiment(b)
	return nil
}

func (b *bench) Helper()          {}
func (b *bench) Cleanup(f func()) { b.cleanups = append(b.cleanups, f) }
func (b *bench) Fatal(args ...any) {
	panic(failure{errors.New(fmt.Sprint(args...))})
}

func (b *bench) TempDir() string {
	dir, err := os.MkdirTemp("", "threadsail-lab-")
	if err != nil {
		b.Fatal(err)
	}
	b.Cleanup(func() { _ = os.RemoveAll(dir) })
	return dir
}

// pooler starts a pooler as a process of its own, for it limits its memory and threads.
func (b *bench) pooler(binary, wire string) func(env map[string]string) string {
	return func(env map[string]string) string {
		self, err := os.Executable()
		if err != nil {
			b.Fatal(err)
		}
		cmd := exec.Command(self, "pooler", "--wire", wire)
		if binary != "" {
			cmd = exec.Command(binary, "serve")
		}
		cmd.Env = os.Environ()
		for k, v := range env {
			cmd.Env = append(cmd.Env, k+"="+v)
		}
		log, err := cmd.StderrPipe()
		if err != nil {
			b.Fatal(err)
		}
		if err := cmd.Start(); err != nil {
			b.Fatal(err)
		}
		b.Cleanup(func() {
			_ = cmd.Process.Signal(syscall.SIGTERM)
			_ = cmd.Wait()
		})
		var seen strings.Builder
		for lines := bufio.NewScanner(log); lines.Scan(); {
			line := lines.Text()
			seen.WriteString(line + "\n")
			if _, rest, ok := strings.Cut(line, `"addr":"`); ok && strings.Contains(line, `"front":"`+wire+`"`) {
				addr, _, _ := strings.Cut(rest, `"`)
				go func() {
					for lines.Scan() { // it must not wait for a reader
					}
				}()
				return addr
			}
		}
		b.Fatal("the pooler does not serve: ", seen.String())
		return ""
	}
}

type poolerCmd struct {
	Wire string
}

func (c *poolerCmd) Run() error {
	cfg, err := config.Load(os.Getenv)
	if err != nil {
		return err
	}
	my, err := config.LoadMySQL(os.Getenv, cfg)
	if err != nil {
		return err
	}
	terminate := make(chan struct{})
	signals := make(chan os.Signal, 1)
	signal.Notify(signals, syscall.SIGTERM, syscall.SIGINT)
	go func() {
		<-signals
		close(terminate)
	}()
	return pooler.Serve(cfg, my, pooler.NewLogger(os.Stderr, false, zerolog.InfoLevel), pooler.Control{Terminate: terminate}, func(pooler.Addresses) {})
}

type demoCmd struct {
	Wire    string        `enum:"postgres,mysql" default:"postgres" help:"Wire of clients and servers: postgres or mysql."`
	Length  time.Duration `default:"15s" help:"How long it runs; at most 25s."`
	Clients int           `default:"16" help:"Clients, each with one request at a time."`
}

func (c *demoCmd) Run() error {
	c.Length = min(max(c.Length, 5*time.Second), 25*time.Second)
	return run(func(b *bench) {
		report := lab.Demo{Wire: c.Wire, Length: c.Length, Clients: c.Clients, Pooler: b.pooler("", c.Wire), Out: os.Stdout}.Run(b)
		fmt.Println()
		if err := report.Table(os.Stdout); err != nil {
			b.Fatal(err)
		}
		if report.Lost+report.Overlaps > 0 || report.Served == 0 {
			b.Fatal("a promise was broken: see lost and overlapping above")
		}
	})
}

type rewriteCmd struct {
	Wire     string        `enum:"postgres,mysql" default:"postgres" help:"Wire of clients and servers: postgres or mysql."`
	Versions int           `default:"1000" help:"How often the file is rewritten."`
	Pace     time.Duration `default:"10ms" help:"Time between two versions. Servers leave for two fifths of the run: it must be long enough for the 2 s that they may be sent work."`
	Clients  int           `default:"8" help:"Clients, each with one request at a time."`
	Seed     uint64        `default:"1" help:"Makes the choices."`
	Binary   string        `type:"existingfile" help:"The pooler to run, otherwise this build's."`
	GateOff  bool          `help:"Take unsealed files at once: the experiment must then fail."`
}

func (c *rewriteCmd) Run() error {
	return run(func(b *bench) {
		report := lab.Rewrite{Wire: c.Wire, Versions: c.Versions, Pace: c.Pace, Clients: c.Clients, Seed: c.Seed, GateOff: c.GateOff,
			Pooler: b.pooler(c.Binary, c.Wire), Progress: func(line string) { fmt.Println(line) }}.Run(b)
		fmt.Println(report)
		if v := report.Violations(); len(v) > 0 {
			b.Fatal(strings.Join(v, "; "))
		}
	})
}

type recordCmd struct {
	Listen string `default:"127.0.0.1:3307" help:"Where the client connects; loopback."`
	Front  string `required:"" placeholder:"HOST:PORT" help:"The front that it is passed on to."`
	File   string `arg:"" help:"The file to write once the client has gone."`
}

func (c *recordCmd) Run() error {
	r, err := lab.Record(c.Listen, c.Front)
	if err != nil {
		return err
	}
	fmt.Println("waiting for one client at", r.Addr())
	s, err := r.Wait()
	if err != nil {
		return err
	}
	if err := s.Save(c.File); err != nil {
		return err
	}
	fmt.Printf("%s: %d commands\n", c.File, len(s.Steps))
	return nil
}

type replayCmd struct {
	Front    string   `required:"" placeholder:"HOST:PORT" help:"The front to play it against."`
	User     string   `help:"What the client logs in with."`
	Password string   `env:"THREADLAB_PASSWORD" help:"Its password."`
	Mask     []string `help:"Further fields that may differ, such as value.created_at or error.text, which is masked anyway."`
	File     string   `arg:"" type:"existingfile" help:"A recorded session."`
}

func (c *replayCmd) Run() error {
	s, err := lab.LoadSession(c.File)
	if err != nil {
		return err
	}
	differences, err := s.Replay(c.Front, c.User, c.Password, append(lab.DefaultMasks, c.Mask...), nil)
	for _, d := range differences {
		fmt.Println(d)
	}
	if err != nil {
		return err
	}
	if len(differences) > 0 {
		return fmt.Errorf("%d differences in %d commands", len(differences), len(s.Steps))
	}
	fmt.Printf("no difference in %d commands\n", len(s.Steps))
	return nil
}

type compatibilityCmd struct{}

func (*compatibilityCmd) Run() error { return translate.WriteCompatibility(os.Stdout) }

type schemaCmd struct {
	File   string `arg:"" type:"existingfile" help:"The operators' file, JSON."`
	Schema string `default:"deploy/membership.cue" type:"existingfile" help:"The CUE schema; its definition #File is what the file must fit."`
}

func (c *schemaCmd) Run() error {
	if err := checkSchema(c.Schema, c.File); err != nil {
		return err
	}
	fmt.Printf("%s fits %s\n", c.File, c.Schema)
	return nil
}

func checkSchema(schema, file string) error {
	text, err := os.ReadFile(schema)
	if err != nil {
		return err
	}
	data, err := os.ReadFile(file)
	if err != nil {
		return err
	}
	definition := cuecontext.New().CompileBytes(text, cue.Filename(schema)).LookupPath(cue.ParsePath("#File"))
	if err := definition.Err(); err != nil {
		return err
	}
	return cuejson.Validate(data, definition)
}
