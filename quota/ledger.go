// Package quota bounds what the requests of a client account use at all entries
// together. One Ledger, on the leader of the control hosts, keeps a token bucket for each
// account; each entry has a Stock, which claims tokens from it in batches and keeps a few
// ahead. A Stock that the Ledger does not answer uses the share of one entry, which the
// Ledger then leaves to it. Neither has a clock of its own or does I/O: times are since
// boot, with suspensions included, as a suspended entry must not take its answers for
// fresh ones.
package quota

import (
	"cmp"
	"maps"
	"math"
	"slices"
	"time"
)

const (
	// shortestLease and leasePerEntry bound how long an entry stays in touch after a
	// claim: the more entries there are, the less often each has to claim.
	shortestLease = time.Second
	leasePerEntry = 10 * time.Millisecond
	// aheadFraction is the part of a burst that all entries together may keep ahead.
	aheadFraction = 0.5
	// shareLifetime is how long an entry that has no answer uses its share, and how long
	// the Ledger leaves it that share.
	shareLifetime = 30 * time.Second
	// minBurst is the least size of a bucket, in time at the rate of the quota. A bucket
	// without room would admit nothing.
	minBurst = 250 * time.Millisecond
	// largestMemory is how long the largest cost of an account's requests is remembered.
	largestMemory = time.Minute
	// maxReturnDelay is how far ahead the return of refused requests is spread.
	maxReturnDelay = 4 * time.Second
	// largestSpan bounds the cost of a request, in time at the rate of the quota beyond the
	// burst. A larger one would keep all others of its account out for long.
	largestSpan = 8 * time.Second
	// maxShown bounds the accounts that metrics show.
	maxShown = 50
	// idleAccount is how long an account without claims is kept.
	idleAccount = time.Minute
)

// Limit is a quota: in any time t, PerSecond * t + Burst may be admitted.
type Limit struct {
	PerSecond float64
	Burst     float64
}

// size returns the size of the bucket.
func (l Limit) size() float64 {
	return max(l.Burst, l.PerSecond*minBurst.Seconds())
}

// fillTime returns the time in which some tokens are added.
func (l Limit) fillTime(tokens float64) time.Duration {
	return time.Duration(min(tokens/l.PerSecond, math.MaxInt32) * float64(time.Second))
}

// ahead returns the tokens that each entry may keep.
func (l Limit) ahead(entries int) float64 {
	return aheadFraction * l.size() / float64(max(entries, 1))
}

// Claim is what one entry asks of the Ledger.
type Claim struct {
	Entry string
	// Entries is the largest number of entries that the claimant was told lately.
	Entries int
	// OnShare is true while the entry uses its share, as it has no answers.
	OnShare  bool
	Accounts []AccountClaim
}

// AccountClaim is what an entry asks for one account.
type AccountClaim struct {
	Account string
	// Returned are tokens that the entry does not use.
	Returned float64
	// Costs are those of the waiting requests, in the order in which they are admitted.
	Costs []float64
	// Held is what the entry keeps ahead; it is filled up where Ahead is true.
	Held  float64
	Ahead bool
}

// Answer answers a Claim.
type Answer struct {
	// Lease is how long after this answer the entry counts as in touch.
	Lease time.Duration
	// Entries is the number of entries that share a quota.
	Entries  int
	Accounts []AccountAnswer
}

// AccountAnswer answers an AccountClaim.
type AccountAnswer struct {
	Account string
	// RetryAfter holds, for each request, when it may come back; zero for those that are
	// admitted.
	RetryAfter []time.Duration
	// Ahead are tokens that the entry may keep.
	Ahead float64
	// EmptyFor is how long the account will have no tokens.
	EmptyFor time.Duration
}

// Limits returns the limit of an account in the document in force. ok is false for an
// account that is not known; a Limit without a rate sets no bound.
type Limits func(account string) (l Limit, ok bool)

// Ledger keeps the buckets of all accounts. It starts with empty buckets, as an earlier
// Ledger may have given all away. It is not safe for concurrent use.
type Ledger struct {
	// started is when the Ledger was made.
	started time.Duration
	// entries maps the name of an entry to its last claim.
	entries map[string]contact
	// claimed is the largest number of entries in the claims. It counts while entries that
	// this Ledger has never heard may use shares that an earlier one left them.
	claimed int
	// shared is the time that the buckets have been filled, where a second in which a
	// part of the entries uses shares counts as the rest of it; sharedAt is the time up
	// to which it was counted.
	shared   time.Duration
	sharedAt time.Duration
	// inTouch is the part of the entries that do not use their shares.
	inTouch  float64
	accounts map[string]*bucket
	prunedAt time.Duration
}

type contact struct {
	at      time.Duration
	onShare bool
}

// bucket is the token bucket of one account. A request is admitted while the balance is
// above zero, whatever it costs, so that large ones are not starved by small ones; the
// room for the largest is left free at the top.
type bucket struct {
	limit   Limit
	balance float64
	// filledAt is the Ledger's shared time up to which the bucket was filled.
	filledAt time.Duration
	// largest is the largest cost lately, and largestAt when it was seen.
	largest   float64
	largestAt time.Duration
	// held is what the entries keep ahead, by the name of the entry.
	held map[string]float64
	// bookedUntil is when the refused requests that were told a time will be through.
	bookedUntil time.Duration
	claimedAt   time.Duration
	used        Use
}

// Use counts what was asked for an account.
type Use struct {
	// Admitted and Refused are numbers of requests, and Tokens what the admitted ones
	// cost.
	Admitted int64
	Refused  int64
	Tokens   float64
}

// NewLedger returns a Ledger.
func NewLedger(now time.Duration) *Ledger {
	return &Ledger{started: now, sharedAt: now, entries: map[string]contact{}, accounts: map[string]*bucket{}}
}

// Claim answers a claim. listed are the entries that control knows.
func (l *Ledger) Claim(now time.Duration, c Claim, listed int, limits Limits) Answer {
	l.fill(now, listed)
	l.claimed = max(l.claimed, c.Entries)
	l.entries[c.Entry] = contact{at: now, onShare: c.OnShare}
	n := l.count(now, listed)
	out := Answer{Lease: lease(n), Entries: n}
	for _, a := range c.Accounts {
		out.Accounts = append(out.Accounts, l.claimAccount(now, c.Entry, a, n, limits))
	}
	l.prune(now)
	return out
}

func lease(entries int) time.Duration {
	return max(shortestLease, time.Duration(entries)*leasePerEntry)
}

// count returns the number of entries that share a quota: those that control lists, and
// those that claimed lately, as they may use their shares while control does not see them.
func (l *Ledger) count(now time.Duration, listed int) int {
	n := max(listed, len(l.entries), 1)
	if now-l.started <= shareLifetime+lease(n) {
		n = max(n, l.claimed)
	}
	return n
}

// fill counts the time since the last call. An entry is left its share where it has made
// no claim for a lease, or says that it uses it.
func (l *Ledger) fill(now time.Duration, listed int) {
	n, inTouch := l.count(now, listed), 0
	for name, e := range l.entries {
		switch {
		case now-e.at > shareLifetime+lease(n):
			delete(l.entries, name)
		case !e.onShare && now-e.at <= lease(n):
			inTouch++
		}
	}
	l.inTouch = float64(inTouch) / float64(n)
	l.shared += time.Duration(float64(max(now-l.sharedAt, 0)) * l.inTouch)
	l.sharedAt = max(now, l.sharedAt)
}

func (l *Ledger) claimAccount(now time.Duration, entry string, c AccountClaim, entries int, limits Limits) AccountAnswer {
	out := AccountAnswer{Account: c.Account, RetryAfter: make([]time.Duration, len(c.Costs))}
	limit, known := limits(c.Account)
	switch {
	case !known:
		out.EmptyFor = shortestLease
		for i := range out.RetryAfter {
			out.RetryAfter[i] = shortestLease
		}
		return out
	case limit.PerSecond <= 0:
		return out
	}
	b := l.bucket(now, c.Account, limit)
	b.keep(entry, c.Held)
	b.balance = min(b.balance+max(c.Returned, 0), l.top(b))
	for i, cost := range c.Costs {
		b.see(now, cost)
		b.balance = min(b.balance, l.top(b))
		if !b.admits(cost) {
			out.RetryAfter[i] = b.book(now, cost)
			b.used.Refused++
			continue
		}
		b.balance -= cost
		b.used.Admitted++
		b.used.Tokens += cost
	}
	if c.Ahead && b.balance > 0 {
		out.Ahead = min(max(limit.ahead(entries)-c.Held, 0), b.balance/2)
		b.balance -= out.Ahead
		b.keep(entry, c.Held+out.Ahead)
	}
	out.EmptyFor = b.emptyFor()
	return out
}

// bucket returns the bucket of an account, filled up to now. One that was not kept has not
// been used since the Ledger was made, or was full.
func (l *Ledger) bucket(now time.Duration, account string, limit Limit) *bucket {
	b := l.accounts[account]
	if b == nil {
		b = &bucket{limit: limit, held: map[string]float64{}}
		l.accounts[account] = b
	}
	b.balance += b.limit.PerSecond * (l.shared - b.filledAt).Seconds()
	b.filledAt, b.limit, b.claimedAt = l.shared, limit, now
	b.balance = min(b.balance, l.top(b))
	return b
}

// top returns the largest balance: with the debt that the largest request may leave, what
// entries keep ahead and what those may save up that use their shares, no more than the
// burst is admitted at once.
func (l *Ledger) top(b *bucket) float64 {
	out := b.limit.size()*l.inTouch - b.room()
	for name, tokens := range b.held {
		if _, ok := l.entries[name]; !ok {
			delete(b.held, name)
			continue
		}
		out -= tokens
	}
	return max(out, 0)
}

// keep takes note of what an entry keeps ahead.
func (b *bucket) keep(entry string, tokens float64) {
	if tokens > 0 {
		b.held[entry] = tokens
	} else {
		delete(b.held, entry)
	}
}

// room returns the debt that a request may leave.
func (b *bucket) room() float64 {
	return min(b.largest, b.limit.size()/2)
}

// see takes note of the cost of a request.
func (b *bucket) see(now time.Duration, cost float64) {
	if cost >= b.largest || now-b.largestAt > largestMemory {
		b.largest, b.largestAt = cost, now
	}
}

// admits reports whether a request is within the quota. One that costs more than the debt
// it may leave needs the rest in the bucket.
func (b *bucket) admits(cost float64) bool {
	size := b.limit.size()
	return b.balance > 0 && b.balance >= min(cost, size)-b.room() && cost <= size+b.limit.PerSecond*largestSpan.Seconds()
}

// book returns when a refused request may come back: one after the other as the bucket
// fills, behind those that were told a time before.
func (b *bucket) book(now time.Duration, cost float64) time.Duration {
	until := nextReturn(now+b.emptyFor(), b.bookedUntil)
	b.bookedUntil = until + b.limit.fillTime(cost)
	return max(until-now, time.Millisecond)
}

// nextReturn returns when the next refused request may come back: once there are tokens,
// and behind those that were told a time up to booked.
func nextReturn(begin, booked time.Duration) time.Duration {
	until := max(booked, begin)
	if until-begin > maxReturnDelay {
		// More return than there will be room for: they are spread once more over the
		// same time.
		until = begin + (until-begin)%maxReturnDelay
	}
	return until
}

// emptyFor returns the time until the balance is above zero.
func (b *bucket) emptyFor() time.Duration {
	if b.balance > 0 {
		return 0
	}
	return b.limit.fillTime(-b.balance) + time.Millisecond
}

// prune forgets accounts without claims whose buckets are full by now.
func (l *Ledger) prune(now time.Duration) {
	if now-l.prunedAt < idleAccount {
		return
	}
	l.prunedAt = now
	for name, b := range l.accounts {
		full := b.balance+b.limit.PerSecond*(l.shared-b.filledAt).Seconds() >= b.limit.size()
		if now-b.claimedAt > idleAccount && full {
			delete(l.accounts, name)
		}
	}
}

// InTouch returns the part of the entries that did not use their shares at the last claim.
func (l *Ledger) InTouch() float64 {
	return l.inTouch
}

// Use returns what was asked for an account.
func (l *Ledger) Use(account string) Use {
	if b := l.accounts[account]; b != nil {
		return b.used
	}
	return Use{}
}

// Used returns what was asked for each account that is kept.
func (l *Ledger) Used() map[string]Use {
	out := map[string]Use{}
	for name, b := range l.accounts {
		out[name] = b.used
	}
	return out
}

// Largest returns the use of the accounts that used most, and that of all others together
// under the name other.
func Largest(used map[string]Use) map[string]Use {
	names := slices.SortedFunc(maps.Keys(used), func(a, b string) int {
		return cmp.Or(cmp.Compare(used[b].Tokens, used[a].Tokens), cmp.Compare(a, b))
	})
	out, rest := map[string]Use{}, Use{}
	for i, name := range names {
		u := used[name]
		if i < maxShown {
			out[name] = u
			continue
		}
		rest.Admitted, rest.Refused, rest.Tokens = rest.Admitted+u.Admitted, rest.Refused+u.Refused, rest.Tokens+u.Tokens
	}
	if len(names) > maxShown {
		out["other"] = rest
	}
	return out
}
