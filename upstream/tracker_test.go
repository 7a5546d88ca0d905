package upstream_test

import (
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"github.com/lacewingslip/lacewingslip/upstream"
)

// message is one that a tracker receives, and the change that it must make.
type message struct {
	// after is the time since the message before.
	after    time.Duration
	instance string
	startMs  int64
	sequence int64
	state    upstream.State
	change   upstream.Change
}

// The first incarnation of a server started while its clock was ahead, and restarted started
// after that, with the clock set back. late is the time between two messages of a server.
const (
	ahead     = int64(500_000)
	restarted = ahead - 1_200
	late      = 1500 * time.Millisecond
)

// Guards against a server that leaves with an acknowledgement and is used on, or that is never
// used, because its incarnation started before an earlier one by the clock, which was set back.
func TestIncarnationsWithClockSetBack(t *testing.T) {
	const (
		changed, unchanged, stale, contested = upstream.Changed, upstream.Unchanged, upstream.Stale, upstream.Contested
		ready, draining, gone                = upstream.Ready, upstream.Draining, upstream.Gone
	)
	first := message{0, "a", ahead, 4, ready, changed}
	for name, c := range map[string]struct {
		messages []message
		state    upstream.State
		startMs  int64
	}{
		"ready, then draining": {[]message{
			first, {late, "a", restarted, 1, ready, contested}, {late, "a", restarted, 2, ready, changed}, {late, "a", restarted, 3, draining, changed},
		}, draining, restarted},
		"draining at once": {[]message{
			first, {late, "a", restarted, 1, draining, contested}, {late, "a", restarted, 2, draining, changed},
		}, draining, restarted},
		"gone at once": {[]message{
			first, {late, "a", restarted, 0, gone, contested}, {late, "a", restarted, 0, gone, changed},
		}, gone, restarted},
		"late messages of the first one, after draining": {[]message{
			first,
			{late, "a", restarted, 1, draining, contested},
			{late, "a", restarted, 2, draining, changed},
			{late, "a", ahead, 5, ready, contested},
			{late, "a", ahead, 6, ready, contested},
		}, draining, restarted},
		"late messages of the first one, after leaving": {[]message{
			first,
			{late, "a", restarted, 0, gone, contested},
			{late, "a", restarted, 0, gone, changed},
			{late, "a", ahead, 5, ready, contested},
			{late, "a", ahead, 6, ready, contested},
			{late, "a", restarted, 9, ready, stale},
		}, gone, restarted},
		"late messages of an earlier one, together": {[]message{
			first, {late, "a", restarted, 1, draining, contested}, {late / 100, "a", restarted, 2, draining, contested}, {late, "a", ahead, 5, ready, unchanged},
		}, ready, ahead},
		"late messages of an earlier one, while the current one runs": {[]message{
			first, {late, "a", restarted, 8, draining, contested}, {late / 2, "a", ahead, 5, ready, unchanged}, {late / 2, "a", restarted, 9, draining, contested},
		}, ready, ahead},
		"draining of another instance": {[]message{
			first,
			{late, "b", restarted, 8, draining, stale},
			{late, "b", restarted, 9, draining, stale},
			{late, "b", restarted, 6, ready, stale},
			{late, "b", restarted, 7, ready, stale},
		}, ready, ahead},
		"another instance": {[]message{
			first, {late, "b", restarted, 1, ready, contested}, {late, "b", restarted, 2, ready, changed},
		}, ready, restarted},
		"the first one has left": {[]message{
			first, {late, "a", ahead, 0, gone, changed}, {late, "a", restarted, 1, ready, contested}, {late, "a", restarted, 2, ready, contested},
		}, gone, ahead},
		"next one after the clock has caught up": {[]message{
			first, {late, "a", restarted, 1, draining, contested}, {late, "a", restarted, 2, draining, changed}, {late, "a", ahead + 1, 1, ready, changed},
		}, ready, ahead + 1},
		"over a minute earlier": {[]message{
			first, {late, "a", ahead - 60_001, 8, ready, stale}, {late, "a", ahead - 60_001, 9, draining, stale},
		}, ready, ahead},
	} {
		t.Run(name, func(t *testing.T) {
			tracker, now := upstream.New("orders", "10.1.0.8:1"), time.Now()
			for _, m := range c.messages {
				now = now.Add(m.after)
				must.EqOp(t, m.change, receive(tracker, now, m))
			}
			must.EqOp(t, c.state, tracker.Server().State())
			must.EqOp(t, c.startMs, tracker.Server().StartMs())
		})
	}
}

func receive(tracker *upstream.Tracker, now time.Time, m message) (change upstream.Change) {
	if m.state == upstream.Gone {
		return tracker.Deregister(now, m.instance, m.startMs)
	}
	return tracker.Apply(now, newAnnouncement(m.instance, m.startMs, m.sequence, m.state))
}

// Guards against a sound server that stays out of use, because its start time is before that
// of an incarnation that has left or of a late message, although the server confirms itself.
func TestConfirmedIncarnationIsUsed(t *testing.T) {
	live := newAnnouncement("a", restarted, 2, upstream.Ready)
	for name, before := range map[string]func(tracker *upstream.Tracker, now time.Time){
		"the first one has left": func(tracker *upstream.Tracker, now time.Time) {
			tracker.Apply(now, newAnnouncement("a", ahead, 4, upstream.Ready))
			tracker.Deregister(now, "a", ahead)
		},
		"the first one is heard late": func(tracker *upstream.Tracker, now time.Time) {
			tracker.Apply(now, newAnnouncement("a", restarted, 1, upstream.Ready))
			tracker.Apply(now, newAnnouncement("a", ahead, 1, upstream.Draining))
		},
		"another instance drains": func(tracker *upstream.Tracker, now time.Time) {
			tracker.Apply(now, newAnnouncement("b", ahead, 4, upstream.Draining))
		},
		"restored": func(tracker *upstream.Tracker, _ time.Time) {
			tracker.Restore("a", ahead, 8, upstream.Unknown)
		},
		"restored as gone": func(tracker *upstream.Tracker, _ time.Time) {
			tracker.Restore("a", ahead, 8, upstream.Gone)
		},
		"restored from health response": func(tracker *upstream.Tracker, _ time.Time) {
			tracker.Restore("b", 0, 8, upstream.Ready)
		},
	} {
		t.Run(name, func(t *testing.T) {
			tracker, now := upstream.New("orders", "10.1.0.8:1"), time.Now()
			before(tracker, now)
			must.EqOp(t, upstream.Contested, tracker.Apply(now, live))
			must.EqOp(t, upstream.Changed, tracker.Confirm(now, live))
			must.True(t, tracker.Server().TakesWork())
			must.EqOp(t, restarted, tracker.Server().StartMs())
			must.EqOp(t, upstream.Stale, tracker.Confirm(now, live))
		})
	}
}

// Guards against a later process that takes a late announcement of the incarnation which
// started first, because the record has the start time of the one that left.
func TestLatestStartOfInstance(t *testing.T) {
	tracker, now := upstream.New("orders", "10.1.0.8:1"), time.Now()
	tracker.Apply(now, newAnnouncement("b", ahead+1, 1, upstream.Ready))
	tracker.Apply(now, newAnnouncement("a", ahead+2, 1, upstream.Ready))
	tracker.Apply(now, newAnnouncement("a", restarted, 1, upstream.Draining))
	tracker.Apply(now.Add(late), newAnnouncement("a", restarted, 2, upstream.Draining))
	must.EqOp(t, restarted, tracker.Server().StartMs())
	must.EqOp(t, ahead+2, tracker.LatestStartMs())
}
