package fairshare

import (
	"math"
	"time"
)

const (
	// minSamples and maxSamples bound the number of latest requests of a route by which the
	// fair rate is found. Between them, the requests of the last sampleWindow count.
	minSamples   = 16
	maxSamples   = 128
	sampleWindow = time.Second
	// maxSampleAge is how long a request counts on a route with few of them.
	maxSampleAge = 30 * time.Second
	// balanceWeight is the weight of the balance when the fair rate is found, so that it is
	// settled within a quarter of the samples.
	balanceWeight = 4
	// maxRouteBalance bounds the balance. More than that is not made up for.
	maxRouteBalance = maxSamples / 2
	// maxCorrection is the part of the share by which the balance changes what is admitted at
	// most.
	maxCorrection = 0.75
)

// routeState is what is known of the requests of a route and rank.
type routeState struct {
	// samples holds the latest requests, the oldest at first.
	samples      [maxSamples]sample
	first, count int
	// balance is the number of requests that the share admits, less that of those admitted.
	balance float64
}

// sample is a request with the weight of its workspace per requested rate.
type sample struct {
	at    time.Time
	ratio float64
}

func (s *routeState) recordRequest(now time.Time, ratio float64) {
	for s.count > 0 {
		age := now.Sub(s.samples[s.first].at)
		if s.count < maxSamples && age <= sampleWindow || s.count < minSamples && age <= maxSampleAge {
			break
		}
		s.first = (s.first + 1) % maxSamples
		s.count--
	}
	s.samples[(s.first+s.count)%maxSamples] = sample{now, ratio}
	s.count++
}

// fairRate returns the rate per weight to which workspaces are limited so that the share of
// the latest requests, corrected by the balance, is admitted.
func (s *routeState) fairRate(share float64) (rate float64) {
	n := float64(s.count)
	correction := maxCorrection * share * n
	target := share*n + max(min(balanceWeight*s.balance, correction), -correction)
	if target >= n {
		return math.Inf(1)
	}
	// The admitted number grows with the rate, and less so the more workspaces are admitted in
	// full. So each step approaches the rate from below, and the last one reaches it.
	rest, full := 0.0, 0
	for i := range s.count {
		rest += s.samples[(s.first+i)%maxSamples].ratio
	}
	for {
		rate = (target - float64(full)) / rest
		nextRest, nextFull := 0.0, 0
		for i := range s.count {
			if ratio := s.samples[(s.first+i)%maxSamples].ratio; ratio*rate >= 1 {
				nextFull++
			} else {
				nextRest += ratio
			}
		}
		if nextFull <= full || nextRest <= 0 {
			return rate
		}
		rest, full = nextRest, nextFull
	}
}

func (s *routeState) recordDecision(share float64, admitted bool) {
	s.balance += share
	if admitted {
		s.balance--
	}
	s.balance = max(min(s.balance, maxRouteBalance), -maxRouteBalance)
}

func decay(elapsed, timeConstant time.Duration) float64 {
	return math.Exp(-float64(elapsed) / float64(timeConstant))
}
