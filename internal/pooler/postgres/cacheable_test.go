package postgres

import (
	"testing"

	"threadsail/internal/protocol/pgwire"
)

func TestCacheable(t *testing.T) {
	rows := pgwire.AppendRow(make([]byte, 0, 1<<10), "val", "v", "SELECT 1")
	kept, n, ok := Cacheable(rows)
	if !ok || n != len(rows) || cap(kept.([]byte)) != n {
		t.Fatalf("%v %v", n, ok)
	}
	a, b := pgwire.AppendReady(kept.([]byte)), pgwire.Append(kept.([]byte), 'N', "other")
	rows[0] = 'X'
	if string(a[:n]) != string(b[:n]) || a[n] != 'Z' || kept.([]byte)[0] != 'T' {
		t.Error("what one session does with it shows in another's, or in the server's own")
	}
	for _, other := range []any{pgwire.AppendError(nil, "ERROR", "42601", "x", ""), []byte{}, &relay{}, nil} {
		if _, _, ok := Cacheable(other); ok {
			t.Errorf("%v is kept", other)
		}
	}
}
