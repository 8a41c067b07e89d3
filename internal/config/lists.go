package config

import (
	"errors"
	"fmt"
	"io/fs"
	"os"
	"time"

	"threadsail/internal/jsonfile"
	"threadsail/internal/serverlist"
	"threadsail/internal/translate"
)

// ListsFile is where the file of the server lists lies unless PROXY_MEMBERSHIP names another.
const ListsFile = "deploy/membership.json"

// Lists says where the fronts have their servers from, and how careful they are with files.
type Lists struct {
	Postgres, MySQL ListSource
	State           string        // the folder where good generations are kept; empty: none
	Poll            time.Duration // how often a file is looked at without being told
	Policy          serverlist.Policy
	MySQLServers    MySQLServers
}

// MySQLServers is how MySQL servers that the PostgreSQL front's file names are reached.
type MySQLServers struct {
	User      string         `json:"user"`
	Password  string         `json:"password"`
	Database  string         `json:"database"`
	Heartbeat string         `json:"heartbeat"` // as MySQL.Heartbeat
	Echo      translate.Echo `json:"echo"`      // what RETURNING can be answered from
}

// ListSource is where a front has its list of servers from: a file, or a list service. With neither, PostgreSQL's is that of
// PROXY_CONFIG's discovery, and MySQL's the inventory that the MySQL front's own file names.
type ListSource struct {
	File      string `json:"file"`
	Discovery string `json:"discovery"` // address, host:port
}

// defaultLists is what holds without a file.
func defaultLists() *Lists {
	return &Lists{Poll: 5 * time.Second, Policy: serverlist.Policy{Settle: time.Second, SettleRemoval: 2 * time.Second,
		Hold: time.Minute, Share: 0.34, Keep: 8}}
}

// loadLists reads the file of the server lists. Without it, or with "enabled" false, the defaults hold.
func loadLists(getenv func(string) string) (*Lists, error) {
	path := or(getenv("PROXY_MEMBERSHIP"), ListsFile)
	text, err := os.ReadFile(path)
	if errors.Is(err, fs.ErrNotExist) && getenv("PROXY_MEMBERSHIP") == "" {
		return defaultLists(), nil
	}
	if err != nil {
		return nil, fmt.Errorf("PROXY_MEMBERSHIP: %w", err)
	}
	l, err := parseLists(text)
	if err != nil {
		return nil, jsonfile.Locate(path, text, err)
	}
	return l, nil
}

// listsFile is the form of the file of the server lists.
type listsFile struct {
	Enabled         bool         `json:"enabled"`
	Postgres        ListSource   `json:"postgres"`
	MySQL           ListSource   `json:"mySQL"`
	State           string       `json:"state"`
	Seal            string       `json:"seal"`
	SettleMs        *float64     `json:"settle_ms"`
	SettleRemovalMs *float64     `json:"settle_removal_ms"`
	HoldMs          *float64     `json:"hold_ms"`
	HoldShare       *float64     `json:"hold_share"`
	Keep            *int         `json:"keep"`
	PollMs          *float64     `json:"poll_ms"`
	MySQLServers    MySQLServers `json:"mysql_servers"`
}

// Bounds of the file of the server lists.
const (
	leastPollMs     = 10
	mostListMs      = 1e9
	mostGenerations = 1000
)

func parseLists(text []byte) (*Lists, error) {
	var file listsFile
	if err := jsonfile.Decode(text, &file); err != nil {
		return nil, err
	}
	l := defaultLists()
	if !file.Enabled {
		return l, nil
	}
	l.Postgres, l.MySQL, l.State, l.MySQLServers = file.Postgres, file.MySQL, file.State, file.MySQLServers
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

// check checks the source of the front whose key is given.
func (s ListSource) check(key string) error {
	if s.File != "" && s.Discovery != "" {
		return fmt.Errorf("%s: file and discovery are both set", key)
	}
	if s.Discovery == "" {
		return nil
	}
	return address(key+".discovery", s.Discovery)
}

func (l *Lists) setSeal(word string) error {
	switch word {
	case "", "optional":
	case "required":
		l.Policy.RequireSeal = true
	default:
		return fmt.Errorf("seal: %q is neither optional nor required", word)
	}
	return nil
}

func (l *Lists) setTimes(file *listsFile) error {
	for _, k := range []struct {
		key   string
		value *float64
		least float64
		to    *time.Duration
	}{
		{"settle_ms", file.SettleMs, 0, &l.Policy.Settle},
		{"settle_removal_ms", file.SettleRemovalMs, 0, &l.Policy.SettleRemoval},
		{"hold_ms", file.HoldMs, 0, &l.Policy.Hold},
		{"poll_ms", file.PollMs, leastPollMs, &l.Poll},
	} {
		if k.value == nil {
			continue
		}
		if *k.value < k.least || *k.value > mostListMs {
			return fmt.Errorf("%s: %v is not from %v to 1e9", k.key, *k.value, k.least)
		}
		*k.to = Milliseconds(*k.value)
	}
	return nil
}

func (l *Lists) setShareAndKeep(file *listsFile) error {
	if share := file.HoldShare; share != nil {
		if *share < 0 || *share > 1 {
			return fmt.Errorf("hold_share: %v is not from 0 to 1", *share)
		}
		l.Policy.Share = *share
	}
	if keep := file.Keep; keep != nil {
		if *keep < 1 || *keep > mostGenerations {
			return fmt.Errorf("keep: %d is not from 1 to %d", *keep, mostGenerations)
		}
		l.Policy.Keep = *keep
	}
	return nil
}
