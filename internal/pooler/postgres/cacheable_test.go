package postgres

import (
	"testing"

	"threadsail/internal/protocol/pgwire"
)

func TestCacheable(t *testing.T) {
	rows := pgwire.AppendRow(make([]byte, 0, 1<<10), "val", "v", "SELECT 1")
	cached, size, ok := Cacheable(rows)
	if !ok || size != len(rows) || cap(cached.([]byte)) != size {
		t.Fatalf("got size %v, ok %v", size, ok)
	}
	firstAnswer, secondAnswer := pgwire.AppendReady(cached.([]byte)), pgwire.Append(cached.([]byte), 'N', "other")
	rows[0] = 'X'
	if string(firstAnswer[:size]) != string(secondAnswer[:size]) || firstAnswer[size] != 'Z' || cached.([]byte)[0] != 'T' {
		t.Error("cached answer shares memory with another session's answer or with the server's")
	}
	for _, answer := range []any{pgwire.AppendError(nil, "ERROR", "42601", "x", ""), []byte{}, &relay{}, nil} {
		if _, _, ok := Cacheable(answer); ok {
			t.Errorf("%v is cacheable", answer)
		}
	}
}
