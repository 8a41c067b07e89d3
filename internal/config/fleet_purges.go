package config

import (
	"bytes"
	"encoding/json"
	"errors"
	"fmt"
	"strconv"
	"strings"
	"time"

	"threadsail/internal/fleet/calendar"
)

// Defaults of the purges.
const (
	defaultGuard     = 500 * time.Millisecond // machines that keep their time by NTP are within a tenth of it
	defaultConfirm   = 10 * time.Second
	defaultSettle    = time.Second // lag of replicas
	defaultAnswersMB = 4

	// answersShare is the most of limits.memory_mb that answers may take, an eighth: the heap grows to three times what lives.
	answersShare = 8
)

// PurgesPart is what empties this pooler's cache of answers, and what the cache is; Site empty: there is none of it.
type PurgesPart struct {
	Site    string // this pooler's
	Answers int64  // bytes
	Classes []string

	// What this file proposes to the fleet: a plan of a Revision above 0, and orders by hand.
	Revision               uint64
	Guard, Confirm, Settle time.Duration // as purge.Bounds
	Book                   calendar.Book
	Orders                 []PurgeOrder
}

// PurgeOrder is a purge that the operators order by hand.
type PurgeOrder struct {
	Name    string    `json:"name"`
	Issued  time.Time `json:"issued"`
	Site    string    `json:"site"`    // empty: all
	Cluster *int      `json:"cluster"` // nil: all
}

// purgesFile is its object in the file of the fleet.
type purgesFile struct {
	Site      string
	Revision  uint64
	ClockMs   float64  `json:"clock_ms"`
	ConfirmMs float64  `json:"confirm_ms"`
	SettleMs  *float64 `json:"settle_ms"`
	AnswersMB float64  `json:"answers_mb"`
	Classes   []string
	Orders    []PurgeOrder
}

// part fills defaults in. An error comes with the path of the key that it is about.
func (f purgesFile) part(book calendar.Book, journal string, term time.Duration) (p PurgesPart, path []string, err error) {
	p = PurgesPart{Site: f.Site, Answers: int64(or(f.AnswersMB, defaultAnswersMB) * (1 << 20)), Classes: f.Classes, Revision: f.Revision,
		Guard: or(Milliseconds(f.ClockMs), defaultGuard), Confirm: or(Milliseconds(f.ConfirmMs), max(defaultConfirm, 3*term)), Settle: defaultSettle,
		Book: book, Orders: f.Orders}
	if f.SettleMs != nil {
		p.Settle = Milliseconds(*f.SettleMs)
	}
	if err := book.Check(); err != nil {
		var at *calendar.Error
		errors.As(err, &at)
		return p, at.Path, err
	}
	known := func(site string) bool { _, ok := book.Sites[site]; return ok || p.Revision == 0 }
	for _, check := range []struct {
		key string
		err error
	}{
		{"site", unless(p.Site == "" || known(p.Site), "%q is not among the sites", p.Site)},
		{"site", unless(p.Site == "" || journal != "", "it needs journal.file: a purge that is not noted would be noted again after a restart")},
		{"revision", unless(p.Revision == 0 || len(book.Sites) > 0, "a plan without sites")},
		{"clock_ms", bounds("clock_ms", p.Guard, 10*time.Millisecond, 10*time.Second)},
		{"confirm_ms", bounds("confirm_ms", p.Confirm, term, time.Hour)}, // copies are confirmed three times a term
		{"settle_ms", bounds("settle_ms", p.Settle, 0, time.Minute)},
		{"answers_mb", unless(p.Answers >= 64<<10 && p.Answers <= 256<<20, "%d bytes are not from 64 KiB to 256 MiB", p.Answers)},
	} {
		if check.err != nil {
			return p, []string{"purges", check.key}, fmt.Errorf("purges.%s: %w", check.key, check.err)
		}
	}
	seen := map[string]bool{}
	for i, o := range p.Orders {
		for _, check := range []struct {
			key string
			bad bool
		}{
			{"name", len(o.Name) < 1 || len(o.Name) > 100 || strings.Trim(o.Name, "abcdefghijklmnopqrstuvwxyz0123456789-") != "" || seen[o.Name]},
			{"issued", o.Issued.IsZero()},
			{"site", o.Site != "" && !known(o.Site)},
			{"cluster", o.Cluster != nil && (*o.Cluster < 0 || *o.Cluster > 1<<16)},
		} {
			if check.bad {
				return p, []string{"purges", "orders", strconv.Itoa(i), check.key},
					fmt.Errorf("purges.orders[%d].%s: it takes a name of its own (a-z, 0-9, -), when it was issued, and a site and cluster that there are, or none", i, check.key)
			}
		}
		seen[o.Name] = true
	}
	return p, nil, nil
}

func unless(ok bool, format string, args ...any) error {
	if ok {
		return nil
	}
	return fmt.Errorf(format, args...)
}

// placeOf is where a path's key begins in a text that is known to be JSON, or the last of its keys that is there.
func placeOf(text []byte, path []string) (place int64) {
	dec := json.NewDecoder(bytes.NewReader(text))
	for len(path) > 0 {
		open, _ := dec.Token()
		found := false
		for i := 0; !found && dec.More(); i++ {
			if open == json.Delim('[') {
				found = path[0] == strconv.Itoa(i)
			} else {
				key, _ := dec.Token()
				name, _ := key.(string)
				found = strings.EqualFold(name, path[0])
			}
			if found {
				place = dec.InputOffset()
				for open == json.Delim('[') && strings.ContainsRune(" \t\r\n,", rune(text[place])) {
					place++ // an element begins behind them
				}
			} else {
				var skip json.RawMessage
				_ = dec.Decode(&skip)
			}
		}
		if !found {
			break
		}
		path = path[1:]
	}
	return place
}
