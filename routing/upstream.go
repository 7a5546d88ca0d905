package routing

import (
	"time"

	"github.com/lacewingslip/lacewingslip/admission"
)

type upstreamState struct {
	Upstream
	tier     tier
	inFlight int
	cost     int64

	load       admission.Load
	reportedAt time.Time
	// reportedInFlight is the value of inFlight when the load was reported.
	reportedInFlight int
	// slowness is the run time here as a multiple of the mean over all upstreams, or 0 if
	// the upstream does not report run times. meanRun is the reported mean in seconds.
	slowness, meanRun float64

	// weight is the weight at weightSetAt. It rises linearly to 1 at fullWeightAt.
	weight                    float64
	weightSetAt, fullWeightAt time.Time
}

// currentWeight returns the weight, which rises linearly to 1 after a refusal or
// failure.
func (u *upstreamState) currentWeight(now time.Time) float64 {
	if !now.Before(u.fullWeightAt) {
		return 1
	}
	share := float64(now.Sub(u.weightSetAt)) / float64(u.fullWeightAt.Sub(u.weightSetAt))
	return u.weight + (1-u.weight)*share
}

func (u *upstreamState) hasFreshLoad(now time.Time) bool {
	return !u.reportedAt.IsZero() && now.Sub(u.reportedAt) < maxReportAge
}

// estimatedCalls estimates the number of calls at the upstream: the reported number,
// corrected by the attempts that this node has started and finished since then, but
// at least the number of attempts that this node has in flight there.
func (u *upstreamState) estimatedCalls(now time.Time) int {
	if !u.hasFreshLoad(now) {
		return u.inFlight
	}
	return max(u.load.Running+u.load.Queued+u.inFlight-u.reportedInFlight, u.inFlight)
}

func (u *upstreamState) currentLimit(now time.Time) int {
	if u.hasFreshLoad(now) && u.load.Limit > 0 {
		return u.load.Limit
	}
	return max(u.Slots, 1)
}

// hasSpareCapacity reports whether the upstream can run another call at once. A
// weight below the best one of the service reduces its limit in proportion. If all
// upstreams refuse calls alike, for example during an overload that their load does not
// show, calls stay near: a distant upstream is no more likely to accept them.
func (u *upstreamState) hasSpareCapacity(now time.Time, bestWeight float64) bool {
	return float64(u.estimatedCalls(now)) < u.currentWeight(now)/max(bestWeight, minWeight)*float64(u.currentLimit(now))
}

// score returns the load of the upstream including another call of the given cost, as
// a share of its weighted limit. A lower score is better.
func (u *upstreamState) score(now time.Time, cost int64) float64 {
	load := float64(u.estimatedCalls(now)+1) + float64(u.cost+cost)/bytesPerCall
	return load / (u.currentWeight(now) * float64(u.currentLimit(now)))
}
