// Package config reads, checks and defaults all configuration: the environment, the file that PROXY_CONFIG names,
// and the file of the MySQL front. Its errors name the key at fault.
package config

import (
	"cmp"
	"encoding/json"
	"errors"
	"fmt"
	"net"
	"os"
	"reflect"
	"strconv"
	"time"

	"threadsail/internal/policy"
	"threadsail/internal/protocol/discovery"
)

// Defaults for what the file leaves out.
const (
	defaultMemoryMB       = 192
	defaultSockets        = 1024
	defaultMaxOpen        = 20000
	defaultConnIdle       = 15 * time.Second
	defaultConnectTimeout = 250 * time.Millisecond
	leastSockets          = 32
)

// Config is all that the pooler is told at its start.
type Config struct {
	Name           string
	Listen         string
	Admin          string // the operators' door; empty: there is none
	Inherited      int    // the descriptor of a listening socket for clients that the platform holds; 0: there is none
	Discovery      string
	Seed           uint64
	MemoryBytes    int64
	Sockets        int
	Known          discovery.List
	Digest         string // of the settings but for the pooler's own number and zone: the same at all poolers of a fleet
	Settings       policy.Settings
	Zones          []string // names, in the order of their numbers
	Reports        bool     // servers report their health
	MaxOpen        int
	ConnIdle       time.Duration
	ConnectTimeout time.Duration
	Lists          *Lists
	shape          shape // of its file
}

// Load reads the file that PROXY_CONFIG names. The other variables fill in what it leaves out.
func Load(getenv func(string) string) (*Config, error) {
	return load(getenv, func(*Config) error { return nil })
}

// Reload reads the file again that c was read from. It may be cut short or half written, so nothing is defaulted here:
// it must hold every key that the file in force holds, and name how many attempts there may be.
func (c *Config) Reload(getenv func(string) string) (*Config, error) {
	return load(getenv, func(next *Config) error {
		if err := c.shape.within(next.shape); err != nil {
			return err
		}
		if next.Settings.MaxAttempts == 0 {
			return errors.New("settings.caps.maxAttempts: not above 0")
		}
		return nil
	})
}

func load(getenv func(string) string, check func(*Config) error) (*Config, error) {
	path := getenv("PROXY_CONFIG")
	if path == "" {
		return nil, errors.New("PROXY_CONFIG: not set")
	}
	text, err := os.ReadFile(path)
	if err != nil {
		return nil, fmt.Errorf("PROXY_CONFIG: %w", err)
	}
	c, err := parse(text, getenv)
	if err == nil {
		err = check(c)
	}
	if err != nil {
		return nil, located(path, text, err)
	}
	c.Lists, err = loadLists(getenv)
	return c, err
}

func parse(text []byte, getenv func(string) string) (*Config, error) {
	var file struct {
		Name, Listen, Admin, Discovery, Seed string
		Limits                               struct {
			MemoryMB float64 `json:"memory_mb"`
			Sockets  int
		}
		Known    json.RawMessage
		Settings *Facts
	}
	if err := json.Unmarshal(text, &file); err != nil {
		return nil, placed{jsonError(err), jsonOffset(err, 0)}
	}
	c := &Config{Name: or(file.Name, getenv("PROXY_NAME")), Listen: or(file.Listen, getenv("PROXY_LISTEN")),
		Discovery: or(file.Discovery, getenv("PROXY_DISCOVERY")), Sockets: or(file.Limits.Sockets, defaultSockets),
		MemoryBytes: int64(or(file.Limits.MemoryMB, defaultMemoryMB) * (1 << 20)), shape: shapeOf(text)}
	if err := address("listen", c.Listen); err != nil {
		return nil, err
	}
	if v := getenv("PROXY_FD"); v != "" {
		fd, err := strconv.Atoi(v)
		if err != nil || fd < 3 {
			return nil, fmt.Errorf("PROXY_FD: %q names no inherited descriptor", v)
		}
		c.Inherited = fd
	}
	if err := address("discovery", c.Discovery); err != nil {
		return nil, err
	}
	if c.Admin = or(file.Admin, getenv("PROXY_ADMIN")); c.Admin != "" {
		if err := address("admin", c.Admin); err != nil {
			return nil, err
		}
	}
	if c.Sockets < leastSockets {
		return nil, fmt.Errorf("limits.sockets: %d is under %d", c.Sockets, leastSockets)
	}
	if c.MemoryBytes < 16<<20 {
		return nil, fmt.Errorf("limits.memory_mb: %v is under 16", file.Limits.MemoryMB)
	}
	if file.Seed != "" {
		seed, err := strconv.ParseUint(file.Seed, 16, 64)
		if err != nil {
			return nil, fmt.Errorf("seed: %q is no hexadecimal number of 64 bits", file.Seed)
		}
		c.Seed = seed
	}
	if len(file.Known) > 0 {
		known, err := discovery.ParseList(file.Known)
		if err != nil {
			return nil, fmt.Errorf("known.%w", err)
		}
		c.Known = known
	}
	if file.Settings == nil {
		return nil, errors.New("settings: missing")
	}
	return c, c.settle(file.Settings)
}

// settle takes over the settings object.
func (c *Config) settle(facts *Facts) (err error) {
	if c.Settings, err = Settings(facts); err != nil {
		return err
	}
	c.Digest = facts.digest()
	if len(c.Settings.Classes) == 0 {
		return errors.New("settings.lanes: no class is named")
	}
	seen := map[string]bool{}
	for i, k := range c.Settings.Classes {
		switch {
		case k.Name == "" || seen[k.Name]:
			return fmt.Errorf("settings.lanes[%d].name: %q is empty or names another class too", i, k.Name)
		case k.TotalTimeout <= 0:
			return fmt.Errorf("settings.lanes[%d].hardLimitMs: not above 0", i)
		}
		seen[k.Name] = true
	}
	if err := below("settings", reflect.ValueOf(*facts)); err != nil {
		return err
	}
	if f := facts.Contract.ColdFrom; f > 1 {
		return fmt.Errorf("settings.contract.coldFrom: %v is no share from 0 to 1", f)
	}
	if err := c.Settings.Validate(); err != nil {
		return err
	}
	if n := len(facts.FamilyInfo.ClassRead); n > 0 && n != len(facts.Lanes) {
		return fmt.Errorf("settings.familyInfo.classRead: %d words for %d lanes", n, len(facts.Lanes))
	}
	c.Zones = facts.Zones
	c.MaxOpen = or(facts.Caps.MaxOpen, defaultMaxOpen)
	c.ConnIdle = or(Milliseconds(facts.Caps.ConnIdleMs), defaultConnIdle)
	c.ConnectTimeout = or(Milliseconds(facts.Caps.ConnectTimeoutMs), defaultConnectTimeout)
	c.Reports = facts.Report.How != "none" && len(facts.Report.Fields) > 0
	return nil
}

// ClassNames names the classes of the settings.
func (c *Config) ClassNames() []string {
	var names []string
	for _, k := range c.Settings.Classes {
		names = append(names, k.Name)
	}
	return names
}

func address(key, v string) error {
	if v == "" {
		return fmt.Errorf("%s: missing", key)
	}
	_, port, err := net.SplitHostPort(v)
	if err != nil {
		return fmt.Errorf("%s: %q is no host:port", key, v)
	}
	if n, err := strconv.Atoi(port); err != nil || n < 0 || n > 65535 {
		return fmt.Errorf("%s: %q names no port", key, v)
	}
	return nil
}

// ipAddress is address for a host that is named by its IP address.
func ipAddress(key, v string) error {
	if err := address(key, v); err != nil {
		return err
	}
	if host, _, _ := net.SplitHostPort(v); net.ParseIP(host) == nil {
		return fmt.Errorf("%s: %q is no IP address", key, host)
	}
	return nil
}

// or is the first value that is set.
func or[T comparable](values ...T) T { return cmp.Or(values...) }
