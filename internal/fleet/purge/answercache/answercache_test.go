package answercache

import (
	"fmt"
	"testing"
)

func TestCache(t *testing.T) {
	c := New(64 << 10)
	key := Key{1, 2, "SELECT 1"}
	c.Put(key, "a", 1, 10)
	if v, ok := c.Get(key, 10); !ok || v != "a" {
		t.Errorf("%v %v", v, ok)
	}
	c.Put(key, "late", 4, 5) // was asked for earlier, and came later
	if v, _ := c.Get(key, 0); v != "a" {
		t.Errorf("%v took the place of a later one", v)
	}
	if _, ok := c.Get(key, 11); ok {
		t.Error("older than asked for")
	}
	if _, ok := c.Get(key, 0); ok {
		t.Error("an outdated answer stays")
	}
	c.Put(key, "large", 8<<10, 20)
	if _, ok := c.Get(key, 0); ok {
		t.Error("one answer takes an eighth")
	}
	for i := range 1000 {
		c.Put(Key{i % 2, 0, fmt.Sprint(i)}, i, 1000, 30)
		if n := c.Bytes(); n > 64<<10 {
			t.Fatalf("%d bytes", n)
		}
	}
	c.Drop(1, false)
	for i := range 1000 {
		if _, ok := c.Get(Key{i % 2, 0, fmt.Sprint(i)}, 0); ok && i%2 == 1 {
			t.Fatal("an answer of the dropped cluster")
		}
	}
	if c.Bytes() == 0 {
		t.Error("the other cluster's are gone too")
	}
	if c.Drop(0, true); c.Bytes() != 0 {
		t.Error("not empty")
	}
}
