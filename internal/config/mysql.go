package config

import (
	"errors"
	"fmt"
	"slices"
	"time"

	"threadsail/internal/jsonfile"
	"threadsail/internal/translate"
)

// MySQLFile is the path of the MySQL frontend's file unless PROXY_MYSQL names another.
const MySQLFile = "deploy/mysql.json"

const (
	defaultReload       = time.Second
	defaultProbeTimeout = 250 * time.Millisecond
)

// StatementDefault is the class and the cluster of a statement that names none in a comment.
type StatementDefault struct {
	Class   string `json:"class"`
	Cluster int    `json:"cluster"`
}

// MySQL configures the MySQL frontend.
type MySQL struct {
	Path                      string // of the file
	Listen                    string
	Inventory                 string
	User, Password            string // at the servers
	Database                  string // at the servers, where the client names none
	ClientUser                string // with which clients must log in; empty: any will do
	ClientPassword            string
	Heartbeat                 string // a query for a replica's position, Unix time in milliseconds; empty: positions are unknown
	ReadDefault, WriteDefault StatementDefault
	ReloadInterval            time.Duration // between two looks at an inventory that is not reported to have changed
	ProbeTimeout              time.Duration
	Postgres                  Postgres
	Translate                 translate.Options
}

// Postgres is how PostgreSQL servers behind the MySQL frontend are reached. User, password and database are as at MySQL's servers where
// they are empty.
type Postgres struct {
	User      string `json:"user"`
	Password  string `json:"password"`
	Database  string `json:"database"`
	Heartbeat string `json:"heartbeat"` // as MySQL.Heartbeat
}

// LoadMySQL reads the MySQL frontend's file. Without the file, or with "enabled" false, it returns nil: the frontend is off.
func LoadMySQL(getenv func(string) string, cfg *Config) (*MySQL, error) {
	path, text, err := readOptional(getenv, "PROXY_MYSQL", MySQLFile)
	if text == nil {
		return nil, err
	}
	m, err := parseMySQL(text, cfg.ClassNames(), cfg.ServerLists.MySQL != ListSource{})
	if err != nil {
		return nil, jsonfile.Locate(path, text, err)
	}
	if m != nil {
		m.Path = path
	}
	return m, nil
}

// CheckClasses returns an error if the defaults name a class that is not among these of the settings.
func (m *MySQL) CheckClasses(classes []string) error {
	for _, d := range []struct {
		key string
		StatementDefault
	}{{"defaults.read", m.ReadDefault}, {"defaults.write", m.WriteDefault}} {
		if !slices.Contains(classes, d.Class) {
			return fmt.Errorf("%s.class: %q is no class of the settings", d.key, d.Class)
		}
		if d.Cluster < 0 {
			return fmt.Errorf("%s.cluster: %d is below 0", d.key, d.Cluster)
		}
	}
	return nil
}

// mysqlForm is the form of the MySQL frontend's file.
type mysqlForm struct {
	Enabled        bool              `json:"enabled"`
	Listen         string            `json:"listen"`
	Inventory      string            `json:"inventory"`
	Heartbeat      string            `json:"heartbeat"`
	User           string            `json:"user"`
	Password       string            `json:"password"`
	Database       string            `json:"database"`
	Client         mysqlClientForm   `json:"client"`
	Defaults       mysqlDefaultsForm `json:"defaults"`
	ReloadMs       float64           `json:"reload_ms"`
	ProbeTimeoutMs float64           `json:"probe_timeout_ms"`
	Postgres       Postgres          `json:"postgres"`
	Translate      translate.Options `json:"translate"`
}

type mysqlClientForm struct {
	User     string `json:"user"`
	Password string `json:"password"`
}

type mysqlDefaultsForm struct {
	Read  StatementDefault `json:"read"`
	Write StatementDefault `json:"write"`
}

// parseMySQL returns nil without an error if the frontend is off. listed tells that the list of servers comes from elsewhere, so that no
// inventory is needed.
func parseMySQL(text []byte, classes []string, listed bool) (*MySQL, error) {
	var file mysqlForm
	if err := jsonfile.Decode(text, &file); err != nil {
		return nil, err
	}
	if !file.Enabled {
		return nil, nil
	}
	m := file.frontend()
	if err := address("listen", m.Listen); err != nil {
		return nil, err
	}
	switch {
	case m.Inventory == "" && !listed:
		return nil, errors.New("inventory: missing")
	case m.User == "":
		return nil, errors.New("user: missing")
	case m.ReloadInterval < 0 || m.ProbeTimeout < 0:
		return nil, errors.New("reload_ms or probe_timeout_ms: below 0")
	}
	return m, m.CheckClasses(classes)
}

// defaultPostgresDatabase is the database at PostgreSQL's servers where the file names none.
const defaultPostgresDatabase = "core"

// frontend fills in defaults.
func (f *mysqlForm) frontend() *MySQL {
	m := &MySQL{
		Listen:         f.Listen,
		Inventory:      f.Inventory,
		User:           f.User,
		Password:       f.Password,
		Database:       f.Database,
		ClientUser:     f.Client.User,
		ClientPassword: f.Client.Password,
		Heartbeat:      f.Heartbeat,
		ReadDefault:    f.Defaults.Read,
		WriteDefault:   f.Defaults.Write,
		ReloadInterval: firstSet(Milliseconds(f.ReloadMs), defaultReload),
		ProbeTimeout:   firstSet(Milliseconds(f.ProbeTimeoutMs), defaultProbeTimeout),
		Postgres:       f.Postgres,
		Translate:      f.Translate,
	}
	m.Postgres.User = firstSet(m.Postgres.User, m.User)
	m.Postgres.Password = firstSet(m.Postgres.Password, m.Password)
	m.Postgres.Database = firstSet(m.Postgres.Database, m.Database, defaultPostgresDatabase)
	return m
}
