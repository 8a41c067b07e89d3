package config

import (
	"errors"
	"fmt"
	"strconv"
	"time"

	"threadsail/internal/calendar"
)

// Defaults of the purges.
const (
	DefaultPurgeGuard    = 500 * time.Millisecond // machines that keep their time by NTP are within a tenth of it
	DefaultMaxReplicaAge = 10 * time.Second
	defaultSettle        = time.Second // lag of replicas
	defaultCacheMB       = 4

	// cacheShare is the most of limits.memory_mb that answers may take, an eighth: the heap grows to three times what lives.
	cacheShare = 8

	maxCluster = 1 << 16
)

// PurgeConfig is this pooler's cache of answers, and what purges it; without a Site there is no cache.
type PurgeConfig struct {
	Site       string // that this pooler is at
	CacheBytes int64
	Classes    []string // whose answers are cached

	// What this file proposes to the fleet: a plan of closing times, if its Revision is above 0, and orders.
	Revision                     uint64
	Guard, MaxReplicaAge, Settle time.Duration // as purge.Bounds
	Calendars                    calendar.Book
	Orders                       []PurgeOrder
}

// PurgeOrder is a purge that operators order.
type PurgeOrder struct {
	Name    string    `json:"name"`
	Issued  time.Time `json:"issued"`
	Site    string    `json:"site"`    // empty: all
	Cluster *int      `json:"cluster"` // nil: all
}

// purgeForm is the form of the object "purges".
type purgeForm struct {
	Site            string       `json:"site"`
	Revision        uint64       `json:"revision"`
	GuardMs         float64      `json:"clock_ms"`
	MaxReplicaAgeMs float64      `json:"confirm_ms"`
	SettleMs        *float64     `json:"settle_ms"`
	CacheMB         float64      `json:"answers_mb"`
	Classes         []string     `json:"classes"`
	Orders          []PurgeOrder `json:"orders"`
}

// purges fills in defaults and checks the part. Errors have the path of their key.
func (f purgeForm) purges(book calendar.Book, journal string, term time.Duration) (PurgeConfig, error) {
	p := PurgeConfig{
		Site:          f.Site,
		CacheBytes:    int64(firstSet(f.CacheMB, defaultCacheMB) * (1 << 20)),
		Classes:       f.Classes,
		Revision:      f.Revision,
		Guard:         firstSet(Milliseconds(f.GuardMs), DefaultPurgeGuard),
		MaxReplicaAge: firstSet(Milliseconds(f.MaxReplicaAgeMs), max(DefaultMaxReplicaAge, 3*term)),
		Settle:        defaultSettle,
		Calendars:     book,
		Orders:        f.Orders,
	}
	if f.SettleMs != nil {
		p.Settle = Milliseconds(*f.SettleMs)
	}
	if err := checkBook(book); err != nil {
		return p, err
	}
	if failed, ok := firstFailed(p.checks(journal, term)); ok {
		return p, atPath(fmt.Errorf("purges.%s: %w", failed.key, failed.err), "purges", failed.key)
	}
	return p, p.checkOrders()
}

// checkBook checks the calendars and sites.
func checkBook(book calendar.Book) error {
	err := book.Check()
	var at *calendar.Error
	if errors.As(err, &at) {
		return atPath(err, at.Path...)
	}
	return err
}

// Bounds of the purges.
const (
	minGuard         = 10 * time.Millisecond
	maxGuard         = 10 * time.Second
	maxMaxReplicaAge = time.Hour
	maxSettle        = time.Minute
	minCacheBytes    = 64 << 10
	maxCacheBytes    = 256 << 20
)

// hasSite tells whether the plan has a site; without a plan of this file's own any may be meant.
func (p *PurgeConfig) hasSite(site string) bool {
	_, ok := p.Calendars.Sites[site]
	return ok || p.Revision == 0
}

func (p *PurgeConfig) checks(journal string, term time.Duration) []keyCheck {
	return []keyCheck{
		{"site", unless(p.Site == "" || p.hasSite(p.Site), "%q is not among the sites", p.Site)},
		{"site", unless(p.Site == "" || journal != "", "it needs journal.file: a purge that is not noted would be noted again after a restart")},
		{"revision", unless(p.Revision == 0 || len(p.Calendars.Sites) > 0, "a plan without sites")},
		{"clock_ms", within("clock_ms", p.Guard, minGuard, maxGuard)},
		{"confirm_ms", within("confirm_ms", p.MaxReplicaAge, term, maxMaxReplicaAge)}, // replicas are confirmed three times a term
		{"settle_ms", within("settle_ms", p.Settle, 0, maxSettle)},
		{"answers_mb", unless(p.CacheBytes >= minCacheBytes && p.CacheBytes <= maxCacheBytes, "%d bytes are not from 64 KiB to 256 MiB", p.CacheBytes)},
	}
}

// checkOrders checks the orders.
func (p *PurgeConfig) checkOrders() error {
	seen := map[string]bool{}
	for i, o := range p.Orders {
		for _, check := range []struct {
			key string
			bad bool
		}{
			{"name", !validOrderName(o.Name, seen)},
			{"issued", o.Issued.IsZero()},
			{"site", o.Site != "" && !p.hasSite(o.Site)},
			{"cluster", o.Cluster != nil && (*o.Cluster < 0 || *o.Cluster > maxCluster)},
		} {
			if check.bad {
				err := fmt.Errorf("purges.orders[%d].%s: it takes a name of its own (a-z, 0-9, -), when it was issued, and a site and cluster that there are, or none", i, check.key)
				return atPath(err, "purges", "orders", strconv.Itoa(i), check.key)
			}
		}
		seen[o.Name] = true
	}
	return nil
}

// checkMemory checks that the answers leave the pooler the memory that it needs for its work.
func (p *PurgeConfig) checkMemory(memoryBytes int64) error {
	if p.Site == "" || p.CacheBytes <= memoryBytes/cacheShare {
		return nil
	}
	return atPath(errors.New("purges.answers_mb: more than an eighth of limits.memory_mb"), "purges", "answers_mb")
}
