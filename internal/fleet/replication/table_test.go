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

// tableModel is a plain model of the documents and of the one lease, beside the table and the lessor that it is compared with.
type tableModel struct {
	table  replication.DocumentTable
	leases lease.Lessor
	index  uint64
	now    time.Duration

	documents map[string]replication.Document
	holder    string
	token     uint64
	expires   time.Duration // of the lease, without the drift
}

// modelDrift is the lessor's drift, and modelTerm the lease's term.
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

// drawWrite draws a write that names the right version, or another one, or a fence.
func (m *tableModel) drawWrite(t *rapid.T) replication.Write {
	key := rapid.SampledFrom([]string{"p/a", "p/b", "q"}).Draw(t, "key")
	w := replication.Write{Key: key, Value: []byte(rapid.String().Draw(t, "value")), ExpectedVersion: m.documents[key].Version}
	if rapid.Bool().Draw(t, "other version") {
		w.ExpectedVersion = uint64(rapid.IntRange(0, int(m.index)).Draw(t, "expect"))
	}
	if rapid.IntRange(0, 3).Draw(t, "delete") == 0 {
		w.Value = nil
	}
	if rapid.Bool().Draw(t, "fenced") {
		w.Fence = replication.Fence{Lease: "d", Token: m.token - min(m.token, uint64(rapid.IntRange(0, 1).Draw(t, "old")))}
	}
	return w
}

// fenceHolds reports whether a fence holds by the model.
func (m *tableModel) fenceHolds(f replication.Fence) bool {
	isHeld := m.holder != "" && m.token != 0 && m.now < m.expires+modelDrift
	return f == replication.Fence{} || isHeld && f.Token == m.token
}

// write applies a write to the table and to the model, and compares what becomes of it.
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
			t.Fatalf("expected %d of %d: %v", w.ExpectedVersion, m.documents[w.Key].Version, err)
		}
	case err != nil || version != m.index || m.table.Version() != m.index:
		t.Fatalf("version %d at index %d, %v", version, m.index, err)
	case w.Value == nil:
		delete(m.documents, w.Key)
	default:
		m.documents[w.Key] = replication.Document{Key: w.Key, Version: m.index, Value: w.Value}
	}
	if err != nil && m.table.Version() != before.Version {
		t.Fatal("a refused write has changed the version")
	}
}

// compare compares the table's documents with the model's.
func (m *tableModel) compare(t *rapid.T) {
	if len(m.table.Snapshot().Documents) != len(m.documents) {
		t.Fatalf("%v, want %v", m.table.Snapshot(), m.documents)
	}
	for key, want := range m.documents {
		if got := m.table.Get(key); got.Version != want.Version || !bytes.Equal(got.Value, want.Value) {
			t.Fatalf("%s: %+v, want %+v", key, got, want)
		}
	}
}

// restore replaces the table by one that is decoded from its encoding.
func (m *tableModel) restore(t *rapid.T) {
	text, err := json.Marshal(&m.table)
	var restored replication.DocumentTable
	if err == nil {
		err = json.Unmarshal(text, &restored)
	}
	if err != nil {
		t.Fatal(err)
	}
	m.table = restored
}

// Writes, leases and restores from snapshots, in any order, agree with a plain model: a write is accepted if its fence holds and its
// expected version is the document's, versions only grow, and a refused write changes nothing.
func TestDocumentTableApply(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		m := tableModel{leases: lease.Lessor{MaxClockDrift: modelDrift}, documents: map[string]replication.Document{}}
		for range rapid.IntRange(1, 60).Draw(t, "steps") {
			m.index += uint64(rapid.IntRange(1, 3).Draw(t, "gap"))
			m.now += time.Duration(rapid.IntRange(0, 30).Draw(t, "pause"))
			if rapid.IntRange(0, 3).Draw(t, "kind") == 0 {
				m.acquire(t)
				continue
			}
			m.write(t, m.drawWrite(t))
			m.compare(t)
			if rapid.IntRange(0, 5).Draw(t, "restore") == 0 {
				m.restore(t)
			}
		}
	})
}

// The table refuses a document that is too large, one without a key, and what is over its bounds in bytes and in number.
func TestDocumentTableBounds(t *testing.T) {
	var table replication.DocumentTable
	put := func(key string, bytes int) error {
		_, err := table.Apply(replication.Write{Key: key, Value: make([]byte, bytes)}, table.Version()+1, &lease.Lessor{})
		return err
	}
	if err := put("big", replication.MaxDocumentSize+1); !errors.Is(err, replication.ErrTooLarge) {
		t.Error(err)
	}
	if err := put("", 1); !errors.Is(err, replication.ErrTooLarge) {
		t.Error(err)
	}
	countFitting := func(bytes int) int {
		n := 0
		for put(fmt.Sprint(n), bytes) == nil {
			n++
		}
		return n
	}
	// The keys take some of the last document's bytes.
	if n := countFitting(replication.MaxDocumentSize); n != replication.MaxTotalSize/replication.MaxDocumentSize-1 {
		t.Errorf("%d largest documents fit", n)
	}
	table = replication.DocumentTable{}
	if n := countFitting(1); n != replication.MaxDocuments {
		t.Errorf("%d documents fit", n)
	}
}
