// Package config reads, checks and completes all configuration of a pooler: the environment, the file that PROXY_CONFIG names, and the
// operators' files of the MySQL frontend, the server lists and the fleet. An error names the file, the line and the key at fault. The
// package decides nothing, starts nothing, and reads files only when it is called; what it returns belongs to the caller.
package config

import (
	"cmp"
	"errors"
	"fmt"
	"io/fs"
	"os"
	"time"

	"threadsail/internal/jsonfile"
	"threadsail/internal/policy"
	"threadsail/internal/protocol/discovery"
)

// Config is what PROXY_CONFIG's file and the environment tell a pooler.
type Config struct {
	Name            string
	Listen          string // address at which PostgreSQL's clients are served, host:port
	Admin           string // address of the operators' port; empty: there is none
	InheritedSocket int    // descriptor of a listening socket for clients that the platform holds; 0: there is none
	DiscoveryAddr   string // address of the list service, host:port
	Seed            uint64 // of the pooler's random choices
	ProcessLimits
	KnownServers   discovery.List // servers that are known at the start
	Digest         string         // of the settings but for the pooler's own number and zone: the same at all poolers of a fleet
	Settings       policy.Settings
	Zones          []string // names of the zones, in the order of their numbers
	HealthReported bool     // servers report their health
	ServerConnections
	ServerLists *ServerLists
	shape       jsonfile.Shape // of the file
}

// ProcessLimits bound what the process may take of its machine.
type ProcessLimits struct {
	MemoryBytes int64
	MaxSockets  int // open at once
}

// ServerConnections bound the connections to servers.
type ServerConnections struct {
	MaxConnections int           // at all servers together
	IdleTimeout    time.Duration // after which an unused connection is closed
	ConnectTimeout time.Duration
}

// Load reads the file that PROXY_CONFIG names, and the file of the server lists. Other variables fill in what PROXY_CONFIG's file
// leaves out.
func Load(getenv func(string) string) (*Config, error) {
	return load(getenv, func(*Config) error { return nil })
}

var errNoAttempts = errors.New("settings.caps.maxAttempts: not above 0")

// Reload reads the file again that c was read from. The file may be cut short or half written, so nothing is completed by defaults: it
// must hold every key that the file in force holds, and tell how many attempts a request may have.
func (c *Config) Reload(getenv func(string) string) (*Config, error) {
	return load(getenv, func(next *Config) error {
		if err := missingKey(c.shape, next.shape); err != nil {
			return err
		}
		if next.Settings.MaxAttempts == 0 {
			return errNoAttempts
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
		return nil, jsonfile.Locate(path, text, err)
	}
	c.ServerLists, err = loadServerLists(getenv)
	return c, err
}

// readOptional reads the file that a variable names, or else the file at a default path. The text is nil without an error if the variable
// is not set and there is no such file.
func readOptional(getenv func(string) string, variable, defaultPath string) (path string, text []byte, err error) {
	named := getenv(variable)
	path = firstSet(named, defaultPath)
	text, err = os.ReadFile(path)
	if errors.Is(err, fs.ErrNotExist) && named == "" {
		return path, nil, nil
	}
	if err != nil {
		return path, nil, fmt.Errorf("%s: %w", variable, err)
	}
	return path, text, nil
}

// ClassNames returns the names of the settings' classes, in their order.
func (c *Config) ClassNames() []string {
	var names []string
	for _, class := range c.Settings.Classes {
		names = append(names, class.Name)
	}
	return names
}

// firstSet returns the first value that is set.
func firstSet[T comparable](values ...T) T { return cmp.Or(values...) }
