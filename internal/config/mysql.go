package config

import (
	"errors"
	"fmt"
	"io/fs"
	"os"
	"slices"
	"time"

	"threadsail/internal/jsonfile"
	"threadsail/internal/translate"
)

// MySQLFile is where the file of the MySQL front lies unless PROXY_MYSQL names another.
const MySQLFile = "deploy/mysql.json"

const (
	defaultReload       = time.Second
	defaultProbeTimeout = 250 * time.Millisecond
)

// StatementDefault is what a statement without a comment counts as.
type StatementDefault struct {
	Class   string `json:"class"`
	Cluster int    `json:"cluster"`
}

// MySQL configures the MySQL front.
type MySQL struct {
	Path                      string // that names all this
	Listen                    string
	Inventory                 string
	User, Password            string // at the servers
	Database                  string // at the servers, where the client names none
	ClientUser                string // what clients must log in with; empty: anybody may
	ClientPassword            string
	Heartbeat                 string // a query for a replica's position, Unix time in milliseconds; empty: positions are unknown
	ReadDefault, WriteDefault StatementDefault
	ReloadInterval            time.Duration // how often the inventory is looked at without being told
	ProbeTimeout              time.Duration
	Postgres                  Postgres
	Translate                 translate.Options
}

// Postgres is how PostgreSQL servers behind the MySQL front are reached. User, password and database are as at MySQL's servers where
// they are empty.
type Postgres struct {
	User      string `json:"user"`
	Password  string `json:"password"`
	Database  string `json:"database"`
	Heartbeat string `json:"heartbeat"` // as MySQL.Heartbeat
}

// LoadMySQL reads the file of the MySQL front. Without the file, or with "enabled" false, the front is off: nil.
func LoadMySQL(getenv func(string) string, cfg *Config) (*MySQL, error) {
	path := firstSet(getenv("PROXY_MYSQL"), MySQLFile)
	text, err := os.ReadFile(path)
	if errors.Is(err, fs.ErrNotExist) && getenv("PROXY_MYSQL") == "" {
		return nil, nil
	}
	if err != nil {
		return nil, fmt.Errorf("PROXY_MYSQL: %w", err)
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

// CheckClasses tells what the front would lack if the settings named these classes.
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

// mysqlForm is the form of the file of the MySQL front.
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

// parseMySQL reads the text; nil without an error: the front is off. listed tells that the servers are named elsewhere, so that no
// inventory is needed.
func parseMySQL(text []byte, classes []string, listed bool) (*MySQL, error) {
	var file mysqlForm
	if err := jsonfile.Decode(text, &file); err != nil {
		return nil, err
	}
	if !file.Enabled {
		return nil, nil
	}
	m := file.front()
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

// front fills in defaults.
func (f *mysqlForm) front() *MySQL {
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
