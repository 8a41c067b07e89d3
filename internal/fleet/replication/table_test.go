package replication_test

import (
	"bytes"
	"encoding/json"
	"errors"
	"fmt"
	"testing"
	"time"

	"pgregory.net/rapid"

	"threadsail/internal/fleet/lease"
	"threadsail/internal/fleet/replication"
)

// tableModel holds a DocumentTable and a lessor, and a simple model of the documents and of one lease to compare them with.
type tableModel struct {
	table  replication.DocumentTable
	leases lease.Lessor
	index  uint64
	now    time.Duration

	documents map[string]replication.Document
	holder    string
	token     uint64
	expires   time.Duration // end of the lease, without the clock drift
}

// Clock drift of the lessor and term of the lease, in the model's time units.
const (
	modelDrift = 10
	modelTerm  = 50
)

// acquire requests the lease for one of two holders.
func (m *tableModel) acquire(t *rapid.T) {
	holder := rapid.SampledFrom([]string{"a", "b"}).Draw(t, "who")
	command := lease.Command{Name: "d", Holder: holder, Duration: modelTerm, Now: m.now, RaftTerm: 1}
	if granted, ok := m.leases.Apply(command, m.index, 1); ok {
		m.holder = holder
		m.token = granted.Token
		m.expires = m.now + modelTerm
	}
}

// drawWrite draws a write, whose expected version may be wrong and which may have a fence with the current or an older token.
func (m *tableModel) drawWrite(t *rapid.T) replication.Write {
	key := rapid.SampledFrom([]string{"p/a", "p/b", "q"}).Draw(t, "key")
	write := replication.Write{Key: key, Value: []byte(rapid.String().Draw(t, "value")), ExpectedVersion: m.documents[key].Version}
	if rapid.Bool().Draw(t, "other version") {
		write.ExpectedVersion = uint64(rapid.IntRange(0, int(m.index)).Draw(t, "expect"))
	}
	if rapid.IntRange(0, 3).Draw(t, "delete") == 0 {
		write.Value = nil
	}
	if rapid.Bool().Draw(t, "fenced") {
		write.Fence = replication.Fence{Lease: "d", Token: m.token - min(m.token, uint64(rapid.IntRange(0, 1).Draw(t, "old")))}
	}
	return write
}

// fenceHolds reports whether a fence holds according to the model.
func (m *tableModel) fenceHolds(fence replication.Fence) bool {
	isHeld := m.holder != "" && m.token != 0 && m.now < m.expires+modelDrift
	return fence == replication.Fence{} || isHeld && fence.Token == m.token
}

// write applies a write to the table and to the model, and compares the results.
func (m *tableModel) write(t *rapid.T, w replication.Write) {
	m.leases.AdvanceTime(m.now, 1, 1)
	before := m.table.Snapshot()
	version, err := m.table.Apply(w, m.index, &m.leases)
	switch {
	case !m.fenceHolds(w.Fence):
		if !errors.Is(err, replication.ErrFenced) {
			t.Fatalf("fence %+v, token %d until %d+10, at %d: %v", w.Fence, m.token, m.expires, m.now, err)
		}
	case w.ExpectedVersion != m.documents[w.Key].Version:
		if !errors.Is(err, replication.ErrConflict) {
			t.Fatalf("write with expected version %d of a document at %d: %v", w.ExpectedVersion, m.documents[w.Key].Version, err)
		}
	case err != nil || version != m.index || m.table.Version() != m.index:
		t.Fatalf("version %d at index %d, %v", version, m.index, err)
	case w.Value == nil:
		delete(m.documents, w.Key)
	default:
		m.documents[w.Key] = replication.Document{Key: w.Key, Version: m.index, Value: w.Value}
	}
	if err != nil && m.table.Version() != before.Version {
		t.Fatal("a refused write changed the version")
	}
}

// compare compares the table's documents with the model's.
func (m *tableModel) compare(t *rapid.T) {
	if len(m.table.Snapshot().Documents) != len(m.documents) {
		t.Fatalf("table has %v, want %v", m.table.Snapshot(), m.documents)
	}
	for key, want := range m.documents {
		if got := m.table.Get(key); got.Version != want.Version || !bytes.Equal(got.Value, want.Value) {
			t.Fatalf("%s: %+v, want %+v", key, got, want)
		}
	}
}

// restore encodes the table and replaces it with the decoded copy.
func (m *tableModel) restore(t *rapid.T) {
	encoded, err := json.Marshal(&m.table)
	var restored replication.DocumentTable
	if err == nil {
		err = json.Unmarshal(encoded, &restored)
	}
	if err != nil {
		t.Fatal(err)
	}
	m.table = restored
}

// Any sequence of writes, lease requests and restores agrees with the model: a write is accepted if its fence holds and its expected
// version is that of the document, versions increase, and a refused write changes nothing.
func TestDocumentTableApply(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		model := tableModel{leases: lease.Lessor{MaxClockDrift: modelDrift}, documents: map[string]replication.Document{}}
		for range rapid.IntRange(1, 60).Draw(t, "steps") {
			model.index += uint64(rapid.IntRange(1, 3).Draw(t, "gap"))
			model.now += time.Duration(rapid.IntRange(0, 30).Draw(t, "pause"))
			if rapid.IntRange(0, 3).Draw(t, "kind") == 0 {
				model.acquire(t)
				continue
			}
			model.write(t, model.drawWrite(t))
			model.compare(t)
			if rapid.IntRange(0, 5).Draw(t, "restore") == 0 {
				model.restore(t)
			}
		}
	})
}

// The table refuses a document that is too large or lacks a key, and documents beyond the limits of total size and number.
func TestDocumentTableBounds(t *testing.T) {
	var table replication.DocumentTable
	put := func(key string, size int) error {
		_, err := table.Apply(replication.Write{Key: key, Value: make([]byte, size)}, table.Version()+1, &lease.Lessor{})
		return err
	}
	if err := put("big", replication.MaxDocumentSize+1); !errors.Is(err, replication.ErrTooLarge) {
		t.Error(err)
	}
	if err := put("", 1); !errors.Is(err, replication.ErrTooLarge) {
		t.Error(err)
	}
	countFitting := func(size int) int {
		count := 0
		for put(fmt.Sprint(count), size) == nil {
			count++
		}
		return count
	}
	// The keys count too, so the last document does not fit.
	if count := countFitting(replication.MaxDocumentSize); count != replication.MaxTotalSize/replication.MaxDocumentSize-1 {
		t.Errorf("%d documents of the maximum size fit", count)
	}
	table = replication.DocumentTable{}
	if count := countFitting(1); count != replication.MaxDocuments {
		t.Errorf("%d documents fit", count)
	}
}
