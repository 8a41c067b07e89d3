package answercache

import (
	"fmt"
	"testing"
)

// TestCache checks that the cache returns no answer requested before the given time, keeps the answer that was requested last, and stays
// within its size.
func TestCache(t *testing.T) {
	cache := New(64 << 10)
	key := Key{1, 2, "SELECT 1"}
	cache.Put(key, "a", 1, 10)
	if answer, ok := cache.Get(key, 10); !ok || answer != "a" {
		t.Errorf("got answer %v, found %v; want the stored answer", answer, ok)
	}
	cache.Put(key, "late", 4, 5) // requested earlier, received later
	if answer, _ := cache.Get(key, 0); answer != "a" {
		t.Errorf("got %v: an answer requested earlier replaced the stored one", answer)
	}
	if _, ok := cache.Get(key, 11); ok {
		t.Error("got an answer requested before the given time")
	}
	if _, ok := cache.Get(key, 0); ok {
		t.Error("an outdated answer was not removed")
	}
	cache.Put(key, "large", 8<<10, 20)
	if _, ok := cache.Get(key, 0); ok {
		t.Error("an answer of an eighth of the cache was stored")
	}
	for i := range 1000 {
		cache.Put(Key{i % 2, 0, fmt.Sprint(i)}, i, 1000, 30)
		if size := cache.Bytes(); size > 64<<10 {
			t.Fatalf("cache holds %d bytes, more than its limit", size)
		}
	}
	cache.Drop(1, false)
	for i := range 1000 {
		if _, ok := cache.Get(Key{i % 2, 0, fmt.Sprint(i)}, 0); ok && i%2 == 1 {
			t.Fatal("got an answer of the dropped cluster")
		}
	}
	if cache.Bytes() == 0 {
		t.Error("answers of the other cluster were removed too")
	}
	if cache.Drop(0, true); cache.Bytes() != 0 {
		t.Error("cache is not empty after all answers were dropped")
	}
}
