package config

import (
	"fmt"
	"time"

	"threadsail/internal/jsonfile"
	"threadsail/internal/serverlist"
	"threadsail/internal/translate"
)

// ServerListsFile is the path of the file of the server lists unless PROXY_MEMBERSHIP names another.
const ServerListsFile = "deploy/membership.json"

// ServerLists is where the frontends have their lists of servers from, and how careful they are with files.
type ServerLists struct {
	Postgres, MySQL ListSource
	ArchiveDir      string        // folder in which accepted generations are kept; empty: none
	PollInterval    time.Duration // between two looks at a file that is not reported to have changed
	Policy          serverlist.Policy
	MySQLServers    MySQLServers
}

// MySQLServers is how MySQL servers that are in the list of the PostgreSQL frontend are reached.
type MySQLServers struct {
	User      string         `json:"user"`
	Password  string         `json:"password"`
	Database  string         `json:"database"`
	Heartbeat string         `json:"heartbeat"` // as MySQL.Heartbeat
	Echo      translate.Echo `json:"echo"`      // what RETURNING can be answered from
}

// ListSource is where a frontend has its list of servers from: a file, or a list service. With neither, the PostgreSQL frontend uses
// the list service of PROXY_CONFIG's file, and the MySQL frontend the inventory that its own file names.
type ListSource struct {
	File          string `json:"file"`
	DiscoveryAddr string `json:"discovery"` // host:port
}

// defaultServerLists returns what holds without a file.
func defaultServerLists() *ServerLists {
	return &ServerLists{PollInterval: 5 * time.Second, Policy: serverlist.Policy{SettleTime: time.Second, RemovalSettleTime: 2 * time.Second,
		HoldTime: time.Minute, MaxLossShare: 0.34, MaxGenerations: 8}}
}

// loadServerLists reads the file of the server lists. Without it, or with "enabled" false, the defaults hold.
func loadServerLists(getenv func(string) string) (*ServerLists, error) {
	path, text, err := readOptional(getenv, "PROXY_MEMBERSHIP", ServerListsFile)
	if err != nil {
		return nil, err
	}
	if text == nil {
		return defaultServerLists(), nil
	}
	l, err := parseServerLists(text)
	if err != nil {
		return nil, jsonfile.Locate(path, text, err)
	}
	return l, nil
}

// serverListsForm is the form of the file of the server lists.
type serverListsForm struct {
	Enabled             bool         `json:"enabled"`
	Postgres            ListSource   `json:"postgres"`
	MySQL               ListSource   `json:"mySQL"`
	ArchiveDir          string       `json:"state"`
	Seal                string       `json:"seal"`
	SettleTimeMs        *float64     `json:"settle_ms"`
	RemovalSettleTimeMs *float64     `json:"settle_removal_ms"`
	HoldTimeMs          *float64     `json:"hold_ms"`
	MaxLossShare        *float64     `json:"hold_share"`
	MaxGenerations      *int         `json:"keep"`
	PollIntervalMs      *float64     `json:"poll_ms"`
	MySQLServers        MySQLServers `json:"mysql_servers"`
}

// Bounds of the file of the server lists.
const (
	minPollMs      = 10
	maxListMs      = 1e9
	maxGenerations = 1000
)

func parseServerLists(text []byte) (*ServerLists, error) {
	var file serverListsForm
	if err := jsonfile.Decode(text, &file); err != nil {
		return nil, err
	}
	l := defaultServerLists()
	if !file.Enabled {
		return l, nil
	}
	l.Postgres, l.MySQL, l.ArchiveDir, l.MySQLServers = file.Postgres, file.MySQL, file.ArchiveDir, file.MySQLServers
	if err := l.Postgres.check("postgres"); err != nil {
		return nil, err
	}
	if err := l.MySQL.check("mysql"); err != nil {
		return nil, err
	}
	if err := l.setSeal(file.Seal); err != nil {
		return nil, err
	}
	if err := l.setTimes(&file); err != nil {
		return nil, err
	}
	return l, l.setShareAndKeep(&file)
}

// check checks the source at a key.
func (s ListSource) check(key string) error {
	if s.File != "" && s.DiscoveryAddr != "" {
		return fmt.Errorf("%s: file and discovery are both set", key)
	}
	if s.DiscoveryAddr == "" {
		return nil
	}
	return address(key+".discovery", s.DiscoveryAddr)
}

func (l *ServerLists) setSeal(word string) error {
	switch word {
	case "", "optional":
	case "required":
		l.Policy.RequireSeal = true
	default:
		return fmt.Errorf("seal: %q is neither optional nor required", word)
	}
	return nil
}

func (l *ServerLists) setTimes(file *serverListsForm) error {
	for _, k := range []struct {
		key   string
		value *float64
		least float64
		to    *time.Duration
	}{
		{"settle_ms", file.SettleTimeMs, 0, &l.Policy.SettleTime},
		{"settle_removal_ms", file.RemovalSettleTimeMs, 0, &l.Policy.RemovalSettleTime},
		{"hold_ms", file.HoldTimeMs, 0, &l.Policy.HoldTime},
		{"poll_ms", file.PollIntervalMs, minPollMs, &l.PollInterval},
	} {
		if k.value == nil {
			continue
		}
		if *k.value < k.least || *k.value > maxListMs {
			return fmt.Errorf("%s: %v is not from %v to 1e9", k.key, *k.value, k.least)
		}
		*k.to = Milliseconds(*k.value)
	}
	return nil
}

func (l *ServerLists) setShareAndKeep(file *serverListsForm) error {
	if share := file.MaxLossShare; share != nil {
		if *share < 0 || *share > 1 {
			return fmt.Errorf("hold_share: %v is not from 0 to 1", *share)
		}
		l.Policy.MaxLossShare = *share
	}
	if keep := file.MaxGenerations; keep != nil {
		if *keep < 1 || *keep > maxGenerations {
			return fmt.Errorf("keep: %d is not from 1 to %d", *keep, maxGenerations)
		}
		l.Policy.MaxGenerations = *keep
	}
	return nil
}
