// Package quota divides a resource that clients share, such as memory, among those who use it.
//
// A Quota has a capacity. A Claim is one holder's part of it. A holder asks for its part before it uses it (Reserve), and if the
// capacity is used up it waits its turn, first come, first served; meanwhile it must not use more. It reports what it really uses
// (SetUsed). A small allowance is free to every holder, so that those who need little never wait for those who need much. A holder that
// is alone may exceed the capacity, so that no request is too large for ever.
//
// All functions must be called on the worker's event loop. The package evicts nobody: it tells who waits, and since when.
package quota

import (
	"slices"
	"time"
)

// Quota is a resource of limited capacity.
type Quota struct {
	now       func() time.Duration
	capacity  int
	allowance int // of each holder, free
	held      int // by all holders, beyond their allowances
	waiting   []*Claim
}

// New returns a quota of which nothing is held. now returns the loop's time.
func New(now func() time.Duration, capacity, allowance int) *Quota {
	return &Quota{now: now, capacity: capacity, allowance: allowance}
}

// Held returns how much is held beyond the allowances.
func (q *Quota) Held() int { return q.held }

// Waiting returns the number of claims that wait.
func (q *Quota) Waiting() int { return len(q.waiting) }

// Claim is the part of a quota that one holder has.
type Claim struct {
	quota        *Quota
	granted      func()
	used         int           // beyond the allowance
	reserved     int           // beyond the allowance; what the holder may use
	wanted       int           // beyond the allowance; for what the holder waits
	waits        bool          // it is in the quota's queue
	waitingSince time.Duration // loop time
	kept         bool          // granted after a wait, and not asked for again since: SetUsed must not give it up
}

// NewClaim returns a claim that holds nothing. granted is called when what a Reserve had to wait for is granted; it must not call the
// claim's methods.
func (q *Quota) NewClaim(granted func()) *Claim { return &Claim{quota: q, granted: granted} }

// Reserve asks for the holder to use total in all, allowance included. It returns true if the holder may. Otherwise the claim waits, and
// granted is called once a repeated call would return true.
func (c *Claim) Reserve(total int) bool {
	total = max(total-c.quota.allowance, 0)
	if total > c.amount() && (c.waits || len(c.quota.waiting) > 0 || !c.quota.fits(c, total)) {
		c.wait(total)
		return false
	}
	c.kept = false
	c.change(c.used, max(c.reserved, total))
	c.CancelWait()
	return true
}

// SetUsed reports that the holder uses total in all, allowance included, and gives up what it has reserved beyond that.
func (c *Claim) SetUsed(total int) {
	reserved := 0
	if c.kept {
		reserved = c.reserved
	}
	c.change(max(total-c.quota.allowance, 0), reserved)
}

// Release gives everything up. The claim may be used again.
func (c *Claim) Release() {
	c.kept = false
	c.CancelWait()
	c.change(0, 0)
}

// CancelWait ends the wait of a Reserve.
func (c *Claim) CancelWait() {
	if !c.waits {
		return
	}
	c.waits = false
	c.quota.waiting = slices.DeleteFunc(c.quota.waiting, func(other *Claim) bool { return other == c })
	c.quota.grant() // those behind it may fit
}

// Waits reports whether the claim waits.
func (c *Claim) Waits() bool { return c.waits }

// WaitsFor returns for how long the claim has waited; 0 if it does not wait.
func (c *Claim) WaitsFor() time.Duration {
	if !c.waits {
		return 0
	}
	return c.quota.now() - c.waitingSince
}

// Held returns how much the holder has beyond its allowance.
func (c *Claim) Held() int { return c.amount() }

func (c *Claim) amount() int { return max(c.used, c.reserved) }

// wait waits for total, or for another total if the claim waits already.
func (c *Claim) wait(total int) {
	c.wanted = total
	if c.waits {
		c.quota.grant() // less may fit
		return
	}
	c.waits = true
	c.waitingSince = c.quota.now()
	c.quota.waiting = append(c.quota.waiting, c)
}

// change sets what the claim holds, and grants what that sets free.
func (c *Claim) change(used, reserved int) {
	before := c.amount()
	c.used, c.reserved = used, reserved
	c.quota.held += c.amount() - before
	if c.amount() < before {
		c.quota.grant()
	}
}

// fits reports whether a claim may hold total: within the capacity, or because nobody else holds anything.
func (q *Quota) fits(c *Claim, total int) bool {
	others := q.held - c.amount()
	return others == 0 || others+total <= q.capacity
}

// grant grants what claims wait for, in their order, as far as the capacity goes.
func (q *Quota) grant() {
	for len(q.waiting) > 0 && q.fits(q.waiting[0], q.waiting[0].wanted) {
		c := q.waiting[0]
		q.waiting = q.waiting[1:]
		c.waits = false
		c.kept = true
		q.held += max(c.amount(), c.wanted) - c.amount()
		c.reserved = max(c.reserved, c.wanted)
		c.granted()
	}
}
