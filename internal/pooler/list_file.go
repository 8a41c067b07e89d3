package pooler

import (
	"errors"
	"fmt"

	"threadsail/internal/config"
	"threadsail/internal/protocol/inventory"
	"threadsail/internal/serverlist"
	"threadsail/internal/watchfile"
)

// listFormat is what list files say differently for the two kinds of servers.
type listFormat struct {
	name         string // of the frontend
	defaultPort  int    // of a server for which the file names none
	portVariable string // in Ansible's inventories
}

var (
	postgresFormat = listFormat{"postgres", 5432, "postgresql_port"}
	mysqlFormat    = listFormat{"mysql", 3306, "mysql_port"}
)

// errNoServers tells that a list file names no server at all.
var errNoServers = errors.New("no server is listed")

// List is what a file lists, and what vouches for it.
type List struct {
	Servers         []serverlist.Server // by name
	Sealed          bool
	Truncation      string // why the file may lack its end, unless it is sealed; empty: nothing suggests it
	ConfirmedDigest string // of the list that whoever sealed the file has compared it with
}

// formatOf returns the list format of a frontend.
func formatOf(frontend string) listFormat {
	if frontend == postgresFormat.name {
		return postgresFormat
	}
	return mysqlFormat
}

// ReadList reads and checks a file as a frontend ("mysql" or "postgres") would. zones are the names that are allowed; nil: all are.
func ReadList(frontend, path string, zones []string) (*List, error) {
	state := watchfile.Read(path, inventory.MaxBytes)
	if state.Err != nil {
		return nil, state.Err
	}
	return ParseList(frontend, path, zones, state.Text)
}

// ParseList is ReadList for a text that has been read already. The path's extension tells its form.
func ParseList(frontend, path string, zones []string, text []byte) (*List, error) {
	format := formatOf(frontend)
	form, err := inventory.FormOf(path)
	if err != nil {
		return nil, err
	}
	file, err := inventory.Parse(form, format.portVariable, text)
	if err != nil {
		return nil, err
	}
	servers, err := serverlist.Check(file.Rows, serverlist.Constraints{DefaultPort: format.defaultPort, Zones: zones})
	if err != nil {
		return nil, err
	}
	list := &List{Servers: servers, Truncation: file.Truncation}
	if file.Seal != nil {
		list.Sealed = true
		list.ConfirmedDigest = file.Seal.Confirms
	}
	return list, nil
}

// FormatList writes a list in the form that the path's extension tells.
func FormatList(frontend, path string, servers []serverlist.Server) ([]byte, error) {
	form, err := inventory.FormOf(path)
	if err != nil {
		return nil, err
	}
	return inventory.Format(form, formatOf(frontend).portVariable, servers)
}

// CheckLists reads the files that name the servers, as the frontends would, and returns what is wrong with the first bad one.
func CheckLists(cfg *config.Config, mysqlConfig *config.MySQL) error {
	sources := map[string]config.ListSource{postgresFormat.name: postgresSource(cfg)}
	if mysqlConfig != nil {
		sources[mysqlFormat.name] = mysqlSource(cfg, mysqlConfig)
	}
	for frontend, src := range sources {
		if src.File == "" {
			continue
		}
		list, err := ReadList(frontend, src.File, cfg.Zones)
		if err == nil && len(list.Servers) == 0 {
			err = errNoServers
		}
		if err == nil && !list.Sealed && list.Truncation != "" {
			err = errors.New(list.Truncation)
		}
		if err != nil {
			return fmt.Errorf("%s: %w", src.File, err)
		}
	}
	return nil
}
