package program

import (
	"fmt"
	"os"
	"time"

	"threadsail/internal/protocol/inventory"
	"threadsail/internal/routing"
	"threadsail/rules"
)

// inventoryFile is the MySQL front's discovery: a file, looked at now and then and read again when it has changed.
// A bad file changes nothing.
type inventoryFile struct {
	path    string
	zones   map[string]int
	log     func(string)
	list    func(rules.ListKind, []routing.Member)
	changed time.Time
	size    int64
}

func (f *inventoryFile) read() error {
	info, err := os.Stat(f.path)
	if err != nil {
		return err
	}
	f.changed, f.size = info.ModTime(), info.Size()
	in, err := readInventory(f.path)
	if err != nil {
		return err
	}
	out := make([]routing.Member, len(in))
	for i, m := range in {
		zone, ok := f.zones[m.Zone]
		if !ok {
			zone = -1 // none of ours
		}
		out[i] = routing.Member{Name: m.Name, Addr: m.Addr, Zone: zone, Group: m.Group, State: m.State}
	}
	f.list(rules.ListFull, out)
	return nil
}

// reread looks whether the file has changed. A bad file is logged once.
func (f *inventoryFile) reread() {
	info, err := os.Stat(f.path)
	if err == nil && info.ModTime().Equal(f.changed) && info.Size() == f.size {
		return
	}
	if err != nil && f.size < 0 {
		return
	}
	if err = f.read(); err == nil {
		f.log("inventory: read again")
		return
	}
	if os.IsNotExist(err) {
		f.size = -1
	}
	f.log("inventory: the old list stands: " + err.Error())
}

func readInventory(path string) ([]inventory.Member, error) {
	text, err := os.ReadFile(path)
	if err != nil {
		return nil, err
	}
	in, err := inventory.Parse(path, text)
	if err != nil {
		return nil, fmt.Errorf("%s: %w", path, err)
	}
	return in, nil
}

// CheckInventory reads an inventory and tells what is wrong with it.
func CheckInventory(path string) error {
	_, err := readInventory(path)
	return err
}
