package standin

import (
	"bytes"
	"encoding/json"
	"net/http"
	"strings"
	"testing"
	"time"

	"threadsail/internal/fleet/shardmap"
	"threadsail/internal/protocol/comment"
	"threadsail/internal/protocol/pgwire"
)

// A server turns writes of an older epoch to a fenced range away untouched, the old home all of them for good, the new one those from
// before the switch; a repeat of what has run runs nowhere again; and an act that is told behind a newer one does nothing.
func TestShardsRefuseOlderEpochs(t *testing.T) {
	s := NewShards(t)
	clients := map[int]*Postgres{}
	for cell := range 2 {
		server, err := NewServer("db", false, true, NewLedger())
		if err != nil {
			t.Fatal(err)
		}
		t.Cleanup(server.Down)
		server.Cell = cell
		s.Serve(server)
		if clients[cell], err = DialPostgres(server.Addr); err != nil {
			t.Fatal(err)
		}
		t.Cleanup(func() { _ = clients[cell].Close() })
	}
	write := func(cell int, id string, epoch uint64) Result {
		text := strings.Replace(Write(id, time.Second), "('u1', 'x')", "('k1', '"+id+"')", 1)
		return clients[cell].Do(comment.WithEpoch(text, epoch))
	}
	told := uint64(0)
	tell := func(act shardmap.Act, epoch, seq uint64) int {
		body, _ := json.Marshal(shardmap.Instruction{Act: act, Epoch: epoch, Token: 1, Sequence: seq, Move: shardmap.Move{Name: "m", Range: shardmap.Range{Cluster: 1}}})
		res, err := http.Post(s.URL, "application/json", bytes.NewReader(body))
		if err != nil {
			t.Fatal(err)
		}
		_ = res.Body.Close()
		return res.StatusCode
	}
	do := func(act shardmap.Act, epoch uint64) {
		if told++; tell(act, epoch, told) != http.StatusOK {
			t.Fatalf("%s is turned down", act)
		}
	}
	if r := write(0, "before", 2); r.Value != "before" {
		t.Fatal(r)
	}
	do(shardmap.ActCopy, 3)
	do(shardmap.ActFence, 4)
	if r := write(0, "late", 3); r.Code != pgwire.CodeBehind {
		t.Errorf("an older epoch at a fenced range: %+v", r)
	}
	do(shardmap.ActFinish, 4)
	if r := write(1, "early", 4); r.Code != pgwire.CodeBehind {
		t.Errorf("an epoch from before the switch at the new home: %+v", r)
	}
	do(shardmap.ActClose, 5)
	if r := write(0, "later", 9); r.Code != pgwire.CodeBehind {
		t.Errorf("a newer epoch at the old home: %+v", r)
	}
	if r := write(1, "after", 5); r.Value != "after" {
		t.Errorf("at the new home: %+v", r)
	}
	if r := write(1, "before", 5); r.Value != "after" {
		t.Errorf("a repeat of what ran at the old home: %+v", r)
	}
	if code := tell(shardmap.ActFinish, 4, 3); code != http.StatusConflict {
		t.Errorf("a copy told before the close: %d", code)
	}
	if refused, acts := s.Count(); refused != 3 || len(acts) != 4 {
		t.Errorf("%d turned away; %v", refused, acts)
	}
}
