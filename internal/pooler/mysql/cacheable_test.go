package mysql

import (
	"testing"

	"threadsail/internal/protocol/mysql"
)

func TestCacheable(t *testing.T) {
	rows := mysql.Append(mysql.Append(nil, 1, []byte{1}), 2, mysql.ColumnDef("val"))
	copied, size, ok := Cacheable(rows)
	if !ok || size != len(rows) || cap(copied.([]byte)) != size {
		t.Fatalf("Cacheable returns size %v, ok %v", size, ok)
	}
	if rows[4] = 9; copied.([]byte)[4] != 1 {
		t.Error("the copy shares memory with the server's answer")
	}
	for _, answer := range []any{mysql.Append(nil, 1, mysql.OK()), mysql.Append(nil, 1, mysql.Error(mysql.ErrParse, "42000", "x")), []byte{1, 2}, nil} {
		if _, _, ok := Cacheable(answer); ok {
			t.Errorf("Cacheable(%v) reports ok; want not ok", answer)
		}
	}
}
