package mysql

import (
	"testing"

	"threadsail/internal/protocol/mysql"
)

func TestCacheable(t *testing.T) {
	rows := mysql.Append(mysql.Append(nil, 1, []byte{1}), 2, mysql.ColumnDef("val"))
	kept, n, ok := Cacheable(rows)
	if !ok || n != len(rows) || cap(kept.([]byte)) != n {
		t.Fatalf("%v %v", n, ok)
	}
	if rows[4] = 9; kept.([]byte)[4] != 1 {
		t.Error("it is the server's own")
	}
	for _, other := range []any{mysql.Append(nil, 1, mysql.OK()), mysql.Append(nil, 1, mysql.Error(mysql.ErrParse, "42000", "x")), []byte{1, 2}, nil} {
		if _, _, ok := Cacheable(other); ok {
			t.Errorf("%v is kept", other)
		}
	}
}
