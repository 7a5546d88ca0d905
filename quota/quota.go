// Package quota decides which requests of a workspace are within its cap, a rate and a burst
// over all nodes together, without agreement between the nodes.
//
// A cap is divided between a few fixed nodes, the keepers of the workspace. Each has a token
// bucket with an equal part of the rate and of the burst, and grants credit from it to the
// nodes that receive the requests. Keepers are chosen by rendezvous hash among all known
// nodes, also those that can't be reached, so a part is never granted by two nodes: keepers
// that are cut off or down take their parts with them.
//
// The package does no I/O, and its types are not safe for concurrent use. It is designed for
// 1,100 nodes and 5,000 workspaces. All times must come from a clock that also runs while the
// VM is suspended. Only times of the same node are compared.
//
// # Usage
//
// A keeper has [Accounts]:
//
//	accounts := quota.NewAccounts("node-1", terms)
//	accounts.SetNodes(now, quota.NewNodes(names))
//	grant := accounts.Grant(now, "workspace", quota.Cap{Rate: 20, Burst: 20}, 1)
//
// A node that receives requests has a [Requester]:
//
//	requester := quota.NewRequester(terms, rand.Float64)
//	requester.SetNodes(quota.NewNodes(names))
//	requester.Arrive(now, "workspace", c, func(v quota.Verdict) { ... })
//	for _, ask := range requester.Serve(now, "workspace", distance) { ... }
//	requester.Answer(sent, now, "workspace", ask, grant)
//	requester.Serve(now, "workspace", distance)
//
// # Terms
//
// A token admits one request. The share of a keeper is the part of the rate and the burst that
// it grants. Credit is a number of tokens that a keeper has granted and that expire.
package quota

import "time"

const (
	// MaxKeepers limits the messages for a workspace whose callers are all at one node, or that
	// is far over its cap. Nodes that are keepers themselves send fewer messages.
	MaxKeepers = 64
	// minTokensPerKeeper is the burst that each keeper has at least, if the cap has more than
	// one keeper. A bucket of less loses tokens because it is full between two requests.
	minTokensPerKeeper = 3
	// minKeepers is the number of keepers of a cap whose burst is too small for more, so that it
	// does not stop while one of them is down, and has one in each of three regions.
	minKeepers = 3
	// HandoverDelay is how long a node must have been the keeper by each of its views of the
	// nodes before it grants credit. Within this time, the earlier keeper learns of the change.
	HandoverDelay = 2 * time.Second

	// maxLifetime and maxHold bound the times that depend on the window.
	maxLifetime = time.Second
	maxHold     = 150 * time.Millisecond
	// An answer takes 40 ms over the longest network path. With shorter times, most requests
	// would be refused, so a deployment that tolerates less gets these.
	minLifetime = 100 * time.Millisecond
	minHold     = 100 * time.Millisecond
	// These parts of the tolerated excess are used up if credit is spent just before it
	// expires, by requests that are held, and by bursts that are raised by AddedBurst.
	lifetimePart, holdPart, addedBurstPart = 0.5, 0.3, 0.2
	// addedTokensPart is the part of the tolerated number of requests that the buckets have
	// room for. Requests arrive at random, so a bucket of a few tokens refuses many of them
	// although they are within the cap over the window in which the deployment measures it.
	// The rest is for what nodes do not know of each other, such as a keeper that is not told
	// of a new node.
	addedTokensPart = 0.5

	defaultWindow = 5 * time.Second
	defaultOver   = 0.1
)

// Cap is the limit of a workspace over all nodes.
type Cap struct {
	// Rate is in requests per second. Burst is the number of requests above the rate that
	// may arrive at once.
	Rate, Burst float64
}

// Terms are the times that follow from the tolerance of the deployment.
//
// Requests that are sent in a window can spend credit that was granted up to Lifetime before
// it, and be admitted up to Hold after it. They can exceed rate x window + burst by the rate
// times these times and AddedBurst, which together is at most the tolerated share of the window
// if that is 0.34 s or more, and by AddedTokens.
type Terms struct {
	// Lifetime is how long credit is valid.
	Lifetime time.Duration
	// Hold is how long a request may wait for credit.
	Hold time.Duration
	// AddedBurst is the time for whose requests the buckets have room in addition to the burst.
	// Several small buckets, or one without burst, refuse requests that one bucket admits.
	AddedBurst time.Duration
	// AddedTokens is the number of tokens for which the buckets of all keepers of a workspace
	// together have room in addition.
	AddedTokens float64
}

// NewTerms returns the terms for a deployment in which the requests in any window may exceed a
// cap by the share over, and by the number slack. Defaults are used for a window and a share of
// 0 or less.
func NewTerms(window time.Duration, over, slack float64) (t Terms) {
	if window <= 0 {
		window = defaultWindow
	}
	if over <= 0 {
		over = defaultOver
	}
	tolerated := time.Duration(float64(window) * over)
	return Terms{
		Lifetime:   min(max(scale(tolerated, lifetimePart), minLifetime), maxLifetime),
		Hold:       min(max(scale(tolerated, holdPart), minHold), maxHold),
		AddedBurst: scale(tolerated, addedBurstPart), AddedTokens: addedTokensPart * max(slack, 0),
	}
}

// ask returns how long credit is asked for while a request waits. Later answers would come too
// late for it.
func (t Terms) ask() time.Duration { return max(t.Hold-silentAfter, t.Hold/2) }

func scale(d time.Duration, factor float64) time.Duration {
	return time.Duration(float64(d) * factor)
}

// burst returns the size of the buckets of all keepers together.
func (c Cap) burst(t Terms) float64 {
	return max(c.Burst+c.Rate*t.AddedBurst.Seconds()+t.AddedTokens, 1)
}

// keepers returns the number of keepers that the cap has among the nodes. The added tokens give a
// small cap further keepers, but are not divided among many: one bucket of their size admits more
// than several small ones. Each region has the same number if there is one for each, because the
// callers of a region with fewer would wait for credit from the others.
func (c Cap) keepers(t Terms, nodes Nodes) int {
	burst := c.burst(t)
	number := max(int((burst-t.AddedTokens)/minTokensPerKeeper), min(int(burst/minTokensPerKeeper), minKeepers))
	number = max(min(number, MaxKeepers, nodes.Len()), 1)
	if regions := nodes.regionCount; number > regions && regions > 0 {
		number -= number % regions
	}
	return number
}
