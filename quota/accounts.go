package quota

import (
	"time"
)

const (
	// minRetry and maxRetry bound the time after which a node may ask an empty account again.
	minRetry = 20 * time.Millisecond
	maxRetry = time.Second
)

// Grant is the answer of a keeper.
type Grant struct {
	// Tokens is the credit, which may be less than what was asked for.
	Tokens int
	// Level is the number of tokens that are left.
	Level float64
	// Retry is when the keeper may be asked again, if it could not grant all tokens.
	Retry time.Duration
	// Lifetime is how long the credit is valid, or 0 for the time by the terms of the node.
	Lifetime time.Duration
	// Keeper is false if the node does not keep the account.
	Keeper bool
}

// Accounts holds the accounts of the workspaces that a node keeps.
type Accounts struct {
	self  string
	terms Terms
	// views has the sets of nodes that were in force within the last HandoverDelay, the
	// earliest first. Initially, it has an empty set.
	views []view
	// viewsVersion counts the changes of views.
	viewsVersion int
	accounts     map[string]*account
	// complete is true once this node has known all nodes.
	complete bool
}

// view is a set of nodes and when it came into force.
type view struct {
	nodes Nodes
	from  time.Time
}

// account is a token bucket with a part of a cap.
type account struct {
	cap Cap
	// share is the part of the cap, valid for the cap and the version of the views.
	share        float64
	viewsVersion int
	level        float64
	updatedAt    time.Time
	// nextToken is when the first token is available that no refused node has been told to
	// come back for.
	nextToken time.Time
}

// NewAccounts returns the accounts of the node with the name. It keeps none until it knows
// the other nodes.
func NewAccounts(self string, terms Terms) *Accounts {
	return &Accounts{self: self, terms: terms, views: make([]view, 1), accounts: make(map[string]*account)}
}

// Learn takes over the nodes that this one knows. complete is true once the records of all
// nodes have been read: a node that knows only some of them would take itself for a keeper of
// caps that others keep, so it grants nothing before. restarted is true if the others know the
// node from an earlier process.
func (a *Accounts) Learn(now time.Time, nodes Nodes, complete, restarted bool) {
	switch {
	case a.complete:
		a.SetNodes(now, nodes)
	case !complete:
	case restarted:
		a.Restore(now, nodes)
	default:
		a.SetNodes(now, nodes)
	}
	a.complete = a.complete || complete
}

// Complete reports whether the node has known all nodes.
func (a *Accounts) Complete() bool { return a.complete }

// SetNodes replaces the set of nodes, which must be complete as far as this node can know. A
// node that becomes a keeper by a change waits for HandoverDelay.
func (a *Accounts) SetNodes(now time.Time, nodes Nodes) {
	if a.views[len(a.views)-1].nodes.Equal(nodes) {
		return
	}
	a.views = append(a.views, view{nodes, now})
	a.viewsVersion++
}

// Restore is SetNodes without the delay. It is for the first set of a restarted process
// whose node the others know already.
func (a *Accounts) Restore(now time.Time, nodes Nodes) {
	a.views = []view{{nodes, now.Add(-HandoverDelay)}}
	a.viewsVersion++
	for _, acc := range a.accounts {
		acc.updatedAt = now
	}
}

// Retain removes the accounts of all workspaces for which keep returns false and whose buckets
// are full. Others remain until a later call: a workspace that returns gets a new account, which
// begins with a full bucket.
func (a *Accounts) Retain(now time.Time, keep func(workspace string) bool) {
	for workspace, acc := range a.accounts {
		if !keep(workspace) && acc.isFull(now, a.terms) {
			delete(a.accounts, workspace)
		}
	}
}

// isFull reports whether the bucket is full by the cap and the share that are known.
func (acc *account) isFull(now time.Time, terms Terms) bool {
	added := acc.share * acc.cap.Rate * max(now.Sub(acc.updatedAt), 0).Seconds()
	return acc.level+added >= acc.share*acc.cap.burst(terms)
}

// Keeps returns the number of accounts from which credit has been asked.
func (a *Accounts) Keeps() (accounts int) {
	for _, acc := range a.accounts {
		if acc.share > 0 {
			accounts++
		}
	}
	return accounts
}

// Grant answers a node that asks for credit.
func (a *Accounts) Grant(now time.Time, workspace string, c Cap, want int) (g Grant) {
	if c.Rate <= 0 {
		return Grant{}
	}
	acc := a.update(now, workspace, c)
	if acc.share == 0 {
		return Grant{}
	}
	g = Grant{Keeper: true, Lifetime: a.terms.Lifetime, Tokens: max(min(want, int(acc.level)), 0)}
	acc.level -= float64(g.Tokens)
	g.Level = acc.level
	if g.Tokens < want {
		g.Retry = acc.retry(now)
	}
	return g
}

// retry returns when a refused node is to ask again. Each one is told to come back for
// another token, so that their number does not grow with the number of nodes.
func (acc *account) retry(now time.Time) time.Duration {
	perToken := time.Duration(min(float64(time.Second)/(acc.share*acc.cap.Rate), float64(maxRetry)))
	missing := 1 - (acc.level - float64(int(acc.level)))
	earliest := now.Add(scale(perToken, missing))
	if acc.nextToken.Before(earliest) {
		acc.nextToken = earliest
	}
	if latest := now.Add(maxRetry); acc.nextToken.After(latest) {
		acc.nextToken = latest
	}
	wait := acc.nextToken.Sub(now)
	acc.nextToken = acc.nextToken.Add(perToken)
	return max(wait, minRetry)
}

// update returns the account of a workspace with its tokens at the time.
func (a *Accounts) update(now time.Time, workspace string, c Cap) *account {
	a.dropEndedViews(now)
	acc := a.accounts[workspace]
	if acc == nil {
		acc = &account{cap: c, share: a.share(workspace, c), viewsVersion: a.viewsVersion, updatedAt: a.keeperSince(now)}
		a.accounts[workspace] = acc
	}
	// The tokens since the last update are counted at the lower of the two rates, because the
	// time of the change is not known.
	rate, burst := acc.share*acc.cap.Rate, acc.share*acc.cap.burst(a.terms)
	if acc.cap != c || acc.viewsVersion != a.viewsVersion {
		share := a.share(workspace, c)
		switch {
		case share < acc.share:
			acc.level *= share / acc.share
		case acc.share == 0:
			acc.level = 0
		}
		acc.level *= c.burst(a.terms) / acc.cap.burst(a.terms)
		acc.cap, acc.share, acc.viewsVersion = c, share, a.viewsVersion
		rate, burst = min(rate, share*c.Rate), share*c.burst(a.terms)
	}
	if elapsed := now.Sub(acc.updatedAt); elapsed > 0 {
		acc.level += rate * elapsed.Seconds()
		acc.updatedAt = now
	}
	acc.level = min(acc.level, burst)
	return acc
}

// share returns the part of the cap that this node grants: nothing unless it is a keeper by
// all views, and the smallest part by any view.
func (a *Accounts) share(workspace string, c Cap) float64 {
	keepers := 1
	for _, v := range a.views {
		number := c.keepers(a.terms, v.nodes)
		if rank, ok := v.nodes.rank(workspace, a.self); !ok || rank >= number {
			return 0
		}
		keepers = max(keepers, number)
	}
	return 1 / float64(keepers)
}

// keeperSince returns the time since when this node has granted credit if it does so now, as
// far as its views show.
func (a *Accounts) keeperSince(now time.Time) time.Time {
	since := a.views[len(a.views)-1].from
	if len(a.views) == 1 {
		since = since.Add(HandoverDelay)
	}
	if since.After(now) {
		return now
	}
	return since
}

// dropEndedViews removes the views that have not been in force within the last HandoverDelay.
func (a *Accounts) dropEndedViews(now time.Time) {
	for len(a.views) > 1 && now.Sub(a.views[1].from) >= HandoverDelay {
		a.views = a.views[1:]
		a.viewsVersion++
	}
}
