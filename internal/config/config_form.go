package config

import (
	"encoding/json"
	"errors"
	"fmt"
	"reflect"
	"strconv"
	"time"

	"threadsail/internal/jsonfile"
	"threadsail/internal/protocol/discovery"
)

// Defaults for what PROXY_CONFIG's file leaves out.
const (
	defaultMemoryMB       = 192
	defaultSockets        = 1024
	defaultMaxOpen        = 20000
	defaultConnIdle       = 15 * time.Second
	defaultConnectTimeout = 250 * time.Millisecond
)

// Bounds of the process limits: with less a pooler can't work.
const (
	minSockets     = 32
	minMemoryBytes = 16 << 20
)

// minInheritedSocket is the first descriptor that a platform can hand down: standard input, output and error come before it.
const minInheritedSocket = 3

// configForm is the form of the file that PROXY_CONFIG names. The platform adds keys to it, so unknown ones are skipped.
type configForm struct {
	Name      string            `json:"name"`
	Listen    string            `json:"listen"`
	Admin     string            `json:"admin"`
	Discovery string            `json:"discovery"`
	Seed      string            `json:"seed"` // hexadecimal
	Limits    processLimitsForm `json:"limits"`
	Known     json.RawMessage   `json:"known"`
	Settings  *SettingsFile     `json:"settings"`
}

type processLimitsForm struct {
	MemoryMB float64 `json:"memory_mb"`
	Sockets  int     `json:"sockets"`
}

func parse(text []byte, getenv func(string) string) (*Config, error) {
	var file configForm
	if err := json.Unmarshal(text, &file); err != nil {
		return nil, jsonfile.DescribeAt(err)
	}
	c := &Config{
		Name:          firstSet(file.Name, getenv("PROXY_NAME")),
		Listen:        firstSet(file.Listen, getenv("PROXY_LISTEN")),
		DiscoveryAddr: firstSet(file.Discovery, getenv("PROXY_DISCOVERY")),
		ProcessLimits: ProcessLimits{
			MemoryBytes: int64(firstSet(file.Limits.MemoryMB, defaultMemoryMB) * (1 << 20)),
			MaxSockets:  firstSet(file.Limits.Sockets, defaultSockets),
		},
		shape: jsonfile.ShapeOf(text),
	}
	if err := c.setAddresses(&file, getenv); err != nil {
		return nil, err
	}
	if c.MaxSockets < minSockets {
		return nil, fmt.Errorf("limits.sockets: %d is under %d", c.MaxSockets, minSockets)
	}
	if c.MemoryBytes < minMemoryBytes {
		return nil, fmt.Errorf("limits.memory_mb: %v is under 16", file.Limits.MemoryMB)
	}
	if err := c.setSeed(file.Seed); err != nil {
		return nil, err
	}
	if err := c.setKnownServers(file.Known); err != nil {
		return nil, err
	}
	if file.Settings == nil {
		return nil, errors.New("settings: missing")
	}
	return c, c.setSettings(file.Settings)
}

// setAddresses checks the addresses, and takes over those that are not always there.
func (c *Config) setAddresses(file *configForm, getenv func(string) string) error {
	if err := address("listen", c.Listen); err != nil {
		return err
	}
	if text := getenv("PROXY_FD"); text != "" {
		descriptor, err := strconv.Atoi(text)
		if err != nil || descriptor < minInheritedSocket {
			return fmt.Errorf("PROXY_FD: %q names no inherited descriptor", text)
		}
		c.InheritedSocket = descriptor
	}
	if err := address("discovery", c.DiscoveryAddr); err != nil {
		return err
	}
	c.Admin = firstSet(file.Admin, getenv("PROXY_ADMIN"))
	if c.Admin == "" {
		return nil
	}
	return address("admin", c.Admin)
}

func (c *Config) setSeed(text string) error {
	if text == "" {
		return nil
	}
	seed, err := strconv.ParseUint(text, 16, 64)
	if err != nil {
		return fmt.Errorf("seed: %q is no hexadecimal number of 64 bits", text)
	}
	c.Seed = seed
	return nil
}

func (c *Config) setKnownServers(text json.RawMessage) error {
	if len(text) == 0 {
		return nil
	}
	known, err := discovery.ParseList(text)
	if err != nil {
		return fmt.Errorf("known.%w", err)
	}
	c.KnownServers = known
	return nil
}

// setSettings checks the settings object and takes it over.
func (c *Config) setSettings(facts *SettingsFile) (err error) {
	if c.Settings, err = PolicySettings(facts); err != nil {
		return err
	}
	c.Digest = facts.digest()
	if err := c.checkClasses(); err != nil {
		return err
	}
	if err := notNegative("settings", reflect.ValueOf(*facts)); err != nil {
		return err
	}
	if share := facts.Policy.SlowStartCapacity; share > 1 {
		return fmt.Errorf("settings.contract.coldFrom: %v is no share from 0 to 1", share)
	}
	if err := c.Settings.Validate(); err != nil {
		return err
	}
	if n := len(facts.Replication.Access); n > 0 && n != len(facts.Classes) {
		return fmt.Errorf("settings.familyInfo.classRead: %d words for %d lanes", n, len(facts.Classes))
	}
	c.Zones = facts.Zones
	c.ServerConnections = ServerConnections{
		MaxConnections: firstSet(facts.Capabilities.MaxConnections, defaultMaxOpen),
		IdleTimeout:    firstSet(Milliseconds(facts.Capabilities.IdleTimeoutMs), defaultConnIdle),
		ConnectTimeout: firstSet(Milliseconds(facts.Capabilities.ConnectTimeoutMs), defaultConnectTimeout),
	}
	c.HealthReported = facts.Health.How != "none" && len(facts.Health.Fields) > 0
	return nil
}

// checkClasses checks that there are classes, each with a name of its own and a time limit.
func (c *Config) checkClasses() error {
	if len(c.Settings.Classes) == 0 {
		return errors.New("settings.lanes: no class is named")
	}
	seen := map[string]bool{}
	for i, class := range c.Settings.Classes {
		switch {
		case class.Name == "" || seen[class.Name]:
			return fmt.Errorf("settings.lanes[%d].name: %q is empty or names another class too", i, class.Name)
		case class.TotalTimeout <= 0:
			return fmt.Errorf("settings.lanes[%d].hardLimitMs: not above 0", i)
		}
		seen[class.Name] = true
	}
	return nil
}
