package mesh

import (
	"time"
)

const (
	// nearOffers is the number of nodes of its region that a request is offered to
	// before it waits or leaves the region. An offer that is declined costs no
	// work at a backend server.
	nearOffers = 2
	// maxOffers bounds the offers of a request, repeated attempts included.
	maxOffers = 6
	// firstPatience is how long a request waits for a slot at a node while
	// others may have one: the way to the next zone and back takes 1 ms.
	firstPatience = 10 * time.Millisecond
	// nearPatience is how long it waits in its region before it goes to another
	// one, about twice the way there and back.
	nearPatience = 80 * time.Millisecond
	// lastPatienceShare of the time left is what a request waits at the last
	// node that it is offered to.
	lastPatienceShare = 0.25
)

// offers chooses the nodes that a request is offered to, one after the other.
type offers struct {
	balancer *balancer
	entrance *entrance
	request  *request
	// declined and ran list the nodes that did not take the request, and those
	// that may have run it.
	declined, ran []string
	made          int
	// stage is the next kind of offer.
	stage offerStage
}

// offerStage is a kind of offer, in the order in which they are made.
type offerStage uint8

const (
	// stageNear offers to nodes of the region where the request is to run.
	stageNear offerStage = iota
	// stageRoomy offers to a region that is known to have room.
	stageRoomy
	// stageWait offers once more in the own region, where the request waits.
	stageWait
	// stageAnywhere offers to any node. It is left out for customer requests,
	// which have cost nothing yet.
	stageAnywhere
	stageEnd
)

// next returns the node for the next offer, and sets the patience of the request
// there. ok is false if there is none left.
func (o *offers) next() (p *peer, ok bool) {
	o.request.repeated = o.made > 0
	for o.made++; o.made <= maxOffers && o.stage < stageEnd; o.stage++ {
		if p, ok = o.at(o.stage); ok {
			if o.stage != stageNear {
				o.stage++
			}
			return p, true
		}
	}
	return nil, false
}

// at chooses a node for a kind of offer.
func (o *offers) at(stage offerStage) (p *peer, ok bool) {
	r, b := o.request, o.balancer
	last := time.Duration(lastPatienceShare * float64(time.Until(r.deadline)))
	switch stage {
	case stageNear:
		if len(o.declined) >= nearOffers {
			return nil, false
		}
		r.patience = min(firstPatience, last)
		if len(o.declined) > 0 {
			r.patience = min(nearPatience, last)
		}
		return b.choose(r, o.excluded(), o.home())
	case stageRoomy:
		r.patience = min(nearPatience, last)
		region, roomy := o.entrance.regionWithRoom(r.route, o.home())
		if !roomy {
			return nil, false
		}
		return b.choose(r, o.excluded(), region)
	case stageWait:
		r.patience = last
		return b.choose(r, o.ran, o.home())
	default:
		if r.fromCustomer && len(o.declined) > 0 {
			return nil, false
		}
		r.patience = last
		return b.choose(r, o.excluded(), "")
	}
}

func (o *offers) home() string {
	if o.request.region != "" {
		return o.request.region
	}
	return o.balancer.place.Region
}

func (o *offers) excluded() []string {
	return append(o.declined[:len(o.declined):len(o.declined)], o.ran...)
}
