package inventory

import (
	"fmt"
	"strings"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"threadsail/internal/policy"
	"threadsail/internal/serverlist"
)

var limits = serverlist.Constraints{DefaultPort: 3306, Zones: []string{"a", "b", "x"}}

func read(form Form, text string) ([]serverlist.Server, error) {
	f, err := Parse(form, "mysql_port", []byte(text))
	if err != nil {
		return nil, err
	}
	return serverlist.Check(f.Rows, limits)
}

func server(name, addr, room string, cluster int) serverlist.Server {
	return serverlist.Server{Name: name, Addr: addr, Zone: room, Cluster: cluster, State: policy.Ready, Weight: 1}
}

// parseCase is a file, and its servers or what is wrong with it.
type parseCase struct {
	form Form
	text string
	want []serverlist.Server
	err  string
}

// Servers that several files list.
var (
	first    = server("db1", "10.0.0.1:3307", "a", 2)
	draining = serverlist.Server{Name: "db2", Addr: "db2:3306", Zone: "b", State: policy.Draining, Weight: 1}
	heavy    = serverlist.Server{Name: "db1", Addr: "db1:3306", State: policy.Ready, Weight: 5}
)

// parseCases are the files that TestParse reads.
var parseCases = map[string]parseCase{
	"csv": {CSV, "name,host,port,zone,cluster,state\n# spare\ndb1,10.0.0.1,3307,a,2,ready\ndb2,,,b,,draining\n",
		[]serverlist.Server{first, draining}, ""},
	"csv of a spreadsheet": {CSV, "\ufeffname;host;port;zone;cluster;state\r\n;;;;;\r\n\"db1\";10.0.0.1;3307;a;2;ready;;\r\n\r\ndb2;;;b;;draining\r\n",
		[]serverlist.Server{first, draining}, ""},
	"csv with tabs": {CSV, "name\thost\tport\tzone\tcluster\tstate\ndb2\t\t\tb\t\tdraining\n", []serverlist.Server{draining}, ""},
	"csv, nobody":   {CSV, "name\n", []serverlist.Server{}, ""},
	"csv, weight":   {CSV, "name,weight\ndb1,5\n", []serverlist.Server{heavy}, ""},
	"csv, wires": {CSV, "name,wire,version\ndb1,postgres,16\ndb2,mysql,8.4\n", []serverlist.Server{
		{Name: "db1", Addr: "db1:5432", State: policy.Ready, Weight: 1, Wire: "postgres", Version: "16"},
		{Name: "db2", Addr: "db2:3306", State: policy.Ready, Weight: 1, Wire: "mysql", Version: "8.4"}}, ""},
	"csv, bad wire":     {CSV, "name,wire,version\ndb1,odbc,x\n", nil, `line 2: wire: "odbc", expected mysql or postgres; line 2: version: "x", expected a version like 8.4 or 16`},
	"csv, quoted break": {CSV, "name,zone\n\"db1\",\"a\n\"\ndb9,q\n", nil, `line 4: zone: unknown server room "q", expected one of a, b, x`},
	"csv, all at once": {CSV, "name,host,port,zone,cluster,state,weight\ndb1,bad host,0,ujpest2,x,up,-1\n,,,,,,\ndb1,10.0.0.256,,,,,\n", nil,
		`line 2: host: "bad host", expected a host name or an IP address; ` +
			`line 2: port: "0", expected a whole number from 1 to 65535; ` +
			`line 2: zone: unknown server room "ujpest2", expected one of a, b, x; ` +
			`line 2: cluster: "x", expected a whole number from 0 to 65536; ` +
			`line 2: weight: "-1", expected a whole number from 0 to 1000; ` +
			`line 2: state: "up", expected ready or draining; ` +
			`line 4: name: "db1" is listed twice, first on line 2; ` +
			`line 4: host: "10.0.0.256", expected a host name or an IP address`},
	"csv, two spellings":  {CSV, "name,host\ndb7.pest-east.example.org,10.0.0.1\nDB7.pest-east.example.org.,10.0.0.2\n", nil, `line 3: name: "DB7.pest-east.example.org." is listed twice, first on line 2`},
	"csv, one address":    {CSV, "name,host\ndb1,Db.example.org\ndb2,db.example.org.\n", nil, "line 3: host: db.example.org:3306 is the address of the server on line 2 too"},
	"csv, IP spellings":   {CSV, "name,host\ndb1,::ffff:10.0.0.1\ndb2,10.0.0.1\n", nil, "line 3: host: 10.0.0.1:3306 is the address of the server on line 2 too"},
	"csv, unknown column": {CSV, "name,wieght\ndb1,1\n", nil, `line 1: header: unknown column "wieght", expected name, host, port, zone, cluster, state, weight, wire or version`},
	"csv, column twice":   {CSV, "name,zone,room\n", nil, "line 1: header: two columns hold the zone"},
	"csv, short row":      {CSV, "name,port\ndb1\ndb2,1,2\n", nil, "line 2: row: 1 cells, expected 2 as in the header; line 3: row: 3 cells, expected 2 as in the header"},
	"csv, no name":        {CSV, "name,port\n,1\n", nil, "line 2: name: missing, expected the server's name"},
	"csv, no header":      {CSV, "# nothing\n", nil, "line 1: header: missing, expected the names of the columns, name among them"},
	"csv, open quote":     {CSV, "name\n\"db1\n", nil, "line 2: row: extraneous or missing \" in quoted-field, expected a cell with a quote in it to be quoted, and its quotes doubled"},
	"csv, cp1250":         {CSV, "name,zone\ndb1,\xf5\n", nil, "line 2: text: no UTF-8, expected a file saved as UTF-8"},
	"csv, zero byte":      {CSV, "name\ndb\x001\n", nil, "line 2: text: a zero byte, expected text"},
	"csv, UTF-16":         {CSV, "\xff\xfen\x00", nil, "line 1: text: UTF-16, expected UTF-8"},
	"yaml": {YAML, `
all:
  vars: {mysql_port: 3307, zone: x}
  children:
    lessons:
      vars: {cluster: 1, zone: a}
      hosts:
        db1: {ansible_host: 10.0.0.1, ansible_user: root, ansible_port: 22}
        db2: {zone: b, state: draining, weight: 0}
    others:
      hosts:
        db3:
        db2: {}
`, []serverlist.Server{server("db1", "10.0.0.1:3307", "a", 1),
		{Name: "db2", Addr: "db2:3307", Zone: "b", Cluster: 1, State: policy.Draining}, server("db3", "db3:3307", "x", 0)}, ""},
	"yaml, inner group wins": {YAML, "all:\n  children:\n    in: {vars: {cluster: 2}, hosts: {db1: }}\n  vars: {cluster: 1}\nouter:\n  vars: {cluster: 3}\n  hosts: {db1: }\n",
		[]serverlist.Server{server("db1", "db1:3306", "", 2)}, ""},
	"yaml, ranges": {YAML, "g:\n  hosts:\n    db[09:11].example.org:\n    r[a:c:2]:\n      zone: a\n", []serverlist.Server{
		server("db09.example.org", "db09.example.org:3306", "", 0), server("db10.example.org", "db10.example.org:3306", "", 0),
		server("db11.example.org", "db11.example.org:3306", "", 0), server("ra", "ra:3306", "a", 0), server("rc", "rc:3306", "a", 0)}, ""},
	"yaml, bad ranges":     {YAML, "g:\n  hosts:\n    db[3:1]:\n    db[1:99999999]:\n    db[1:2:0]:\n    db[01:100]:\n    db[1]: \n", nil, `line 3: g.hosts: "db[3:1]", expected a range that goes up; line 4: g.hosts: "db[1:99999999]", stands for more than 16384 hosts; line 5: g.hosts: "db[1:2:0]", expected a step of 1 or more; line 6: g.hosts: "db[01:100]", expected both ends of the range to be as long; line 7: g.hosts: "db[1]", expected a range like [01:12] or [a:f]`},
	"yaml, alias":          {YAML, "g:\n  vars: &v {cluster: 4}\n  hosts: {db1: *v}\n", []serverlist.Server{server("db1", "db1:3306", "", 4)}, ""},
	"yaml, merge":          {YAML, "x: &v\n  vars: {cluster: 4}\ng:\n  <<: *v\n  hosts: {db1: {<<: {zone: a, cluster: 5}, zone: b}}\n", []serverlist.Server{server("db1", "db1:3306", "b", 5)}, ""},
	"yaml, host twice":     {YAML, "g:\n  hosts:\n    db1:\n    db1: {cluster: 1}\n", nil, `line 4: g.hosts: "db1" is listed twice, first on line 3`},
	"yaml, group twice":    {YAML, "g:\n  hosts: {db1: }\ng:\n  hosts: {db2: }\n", nil, `line 3: inventory: "g" is listed twice, first on line 1`},
	"yaml, bad cluster":    {YAML, "g:\n  hosts:\n    db1:\n      cluster: -3\n", nil, `line 4: cluster: "-3", expected a whole number from 0 to 65536`},
	"yaml, template":       {YAML, "g:\n  hosts:\n    db1: {zone: '{{ room }}'}\n", nil, `line 3: zone: "{{ room }}", expected a plain value and no template`},
	"yaml, bad group":      {YAML, "g:\n  host:\n    db1:\n", nil, "line 2: g.host: unknown, expected hosts, vars or children"},
	"yaml, a list":         {YAML, "- db1\n", nil, "line 1: inventory: no mapping, expected one of names to values"},
	"yaml, list as value":  {YAML, "g:\n  hosts:\n    db1:\n      zone: [a]\n", nil, "line 4: zone: a list or mapping, expected a plain value"},
	"yaml, two documents":  {YAML, "g:\n  hosts: {db1: }\n---\ng:\n  hosts: {db2: }\n", nil, "line 3: yaml: a second document, expected one"},
	"yaml, broken":         {YAML, "g:\n  hosts: {\n", nil, "line 2: yaml: line 2: did not find expected node content"},
	"yaml, empty":          {YAML, "", nil, "line 1: yaml: empty, expected groups of hosts"},
	"yaml, port of no use": {YAML, "g:\n  hosts: {db1: {ansible_port: 22, postgresql_port: 5}}\n", []serverlist.Server{server("db1", "db1:3306", "", 0)}, ""},
}

// A file reads as its servers, or as all that is wrong with it.
func TestParse(t *testing.T) {
	for name, c := range parseCases {
		got, err := read(c.form, c.text)
		text := ""
		if err != nil {
			text = err.Error()
		}
		if d := cmp.Diff(c.want, got); d != "" || text != c.err {
			t.Errorf("%s: %v\n%s", name, err, d)
		}
	}
}

// A few lines of anchors can stand for billions of nodes: that must end, and soon.
func TestAnchorsAreBounded(t *testing.T) {
	var b strings.Builder
	b.WriteString("a0: &a0 {hosts: {db1: }}\n")
	for i := 1; i < 12; i++ {
		fmt.Fprintf(&b, "a%d: &a%d {children: {", i, i)
		for j := range 10 {
			fmt.Fprintf(&b, "c%d: *a%d, ", j, i-1)
		}
		b.WriteString("}}\n")
	}
	if _, err := read(YAML, b.String()); err == nil {
		t.Error("it passes")
	}
}

func TestSeal(t *testing.T) {
	text := "name,cluster\ndb1,0\ndb2,1\n"
	sealed := string(AppendSeal([]byte(text), 2, "0123456789abcdef"))
	f, err := Parse(CSV, "", []byte(sealed))
	if err != nil || f.Seal == nil || f.Seal.Confirms != "0123456789abcdef" || len(f.Rows) != 2 {
		t.Fatal(f, err)
	}
	if again := string(AppendSeal([]byte(sealed), 2, "0123456789abcdef")); again != sealed {
		t.Errorf("sealed again it reads %s", again)
	}
	for name, bad := range map[string]string{
		"a row more":    strings.Replace(sealed, "db2,1\n", "db2,1\ndb3,1\n", 1),
		"a digit more":  strings.Replace(sealed, "db2,1", "db2,10", 1),
		"the count":     strings.Replace(sealed, "rows=2", "rows=3", 1),
		"no count":      strings.Replace(sealed, "rows=2", "rows=", 1),
		"another word":  strings.Replace(sealed, "v1", "v2", 1),
		"text below":    sealed + "db3,1\n",
		"sealed twice":  sealed + sealed[len(text):],
		"sealed middle": sealed + text,
	} {
		if _, err := Parse(CSV, "", []byte(bad)); err == nil {
			t.Errorf("%s: it passes", name)
		}
	}
}

// What Format writes must read back as the same list.
func TestFormat(t *testing.T) {
	in := []serverlist.Server{server("a", "10.0.0.1:3307", "a", 2), server("no", "[::1]:3306", "", 0),
		{Name: "x:y", Addr: "h.example:1", Zone: "b", Cluster: 2, State: policy.Draining, Weight: 0, Wire: "postgres", Version: "16"}}
	for _, form := range []Form{CSV, YAML} {
		text, err := Format(form, "mysql_port", in)
		if err != nil {
			t.Fatal(err)
		}
		if got, err := read(form, string(text)); cmp.Diff(in, got) != "" || err != nil {
			t.Errorf("%s\n%v %s", text, err, cmp.Diff(in, got))
		}
	}
}

func FuzzParse(f *testing.F) {
	f.Add(true, "name,host,port\ndb1,x,1\n")
	f.Add(true, string(AppendSeal([]byte("name;weight\r\n\"db1\";5\r\n"), 1, "")))
	f.Add(false, "g:\n  vars: &v {cluster: 4}\n  hosts: {db1: *v, 'db[1:3]': {<<: *v}}\n")
	f.Fuzz(func(t *testing.T, csv bool, text string) {
		form := YAML
		if csv {
			form = CSV
		}
		began := time.Now()
		servers, err := read(form, text)
		if took := time.Since(began); took > 5*time.Second {
			t.Errorf("%d bytes take %v", len(text), took)
		}
		if err != nil || len(servers) > 100 {
			return
		}
		out, err := Format(form, "mysql_port", servers)
		if err != nil {
			t.Fatal(err)
		}
		if again, err := read(form, string(out)); len(servers) > 0 && (err != nil || cmp.Diff(servers, again) != "") {
			t.Errorf("%q reads as %v, and what is written of that as %v, %v", text, servers, again, err)
		}
	})
}

// Large is a list of 10,000 servers in 1,000 clusters.
func large() string {
	var b strings.Builder
	b.WriteString("name,host,port,zone,cluster,state,weight\n")
	for i := range 10000 {
		fmt.Fprintf(&b, "db%d.pest-east.example.org,10.%d.%d.%d,3306,%c,%d,ready,%d\n", i, i>>16, i>>8&255, i&255, 'a'+i%2, i/10, 1+i%5)
	}
	return b.String()
}

func BenchmarkLarge(b *testing.B) {
	text := large()
	servers, err := read(CSV, text)
	if err != nil {
		b.Fatal(err)
	}
	inYAML, _ := Format(YAML, "mysql_port", servers)
	changed, _ := read(CSV, strings.Replace(text, ",ready,3", ",draining,3", 1))
	b.Run("csv", func(b *testing.B) {
		for b.Loop() {
			_, _ = read(CSV, text)
		}
	})
	b.Run("yaml", func(b *testing.B) {
		for b.Loop() {
			_, _ = read(YAML, string(inYAML))
		}
	})
	b.Run("gate", func(b *testing.B) {
		for b.Loop() {
			g := serverlist.NewGate(serverlist.Policy{MaxLossShare: 0.34}, &serverlist.Generation{Number: 1, Servers: servers})
			if d := g.Offer(0, serverlist.Candidate{Servers: changed, Sealed: true}); d.Outcome != serverlist.Accepted || len(d.Diff.Changed) != 1 {
				b.Fatal(d.Outcome)
			}
		}
	})
}
