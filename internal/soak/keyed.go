package soak

import (
	"fmt"
	"math/rand/v2"
	"net/http"
	"slices"
	"time"

	"github.com/lacewingslip/lacewingslip/internal/standin/operator"
)

const (
	// cappedWorkspace has a cap that its callers exceed several times.
	cappedWorkspace = "capped"
	cappedKey       = "key-of-capped"
	capRate         = 20
	capBurst        = 20
	// rotatingWorkspace has another key in each version of the routes, and no cap.
	rotatingWorkspace = "rotating"
	// keyedThinkTime is the mean pause between two requests of a caller with a key.
	keyedThinkTime = 60 * time.Millisecond
	// One of withdrawnRatio requests of the rotating workspace carries one of the last
	// maxWithdrawnVersions withdrawn keys.
	withdrawnRatio, maxWithdrawnVersions = 2, 3
)

// keyedRoutes are the routes that need a key. All others need none, as calls of backend
// servers carry no key.
var keyedRoutes = []route{
	{name: "reserve", service: leafService, atMostOnce: true},
	{name: "consult", service: "catalogue"},
}

// identity is the workspace of a request, and the version of the routes that has its key, or 0
// if all versions have it. It is zero for requests without a key.
type identity struct {
	workspace string
	version   int
}

func (i identity) key() string {
	if i.workspace == rotatingWorkspace {
		return fmt.Sprintf("key-of-version-%d", i.version)
	}
	return cappedKey
}

// keyedWorkspaces returns the workspaces of the desired state with a version of the routes.
func keyedWorkspaces(routesVersion int) operator.Option {
	return operator.WithWorkspaces(
		operator.Workspace{Name: cappedWorkspace, Keys: []string{cappedKey}, Rate: capRate, Burst: capBurst},
		operator.Workspace{Name: rotatingWorkspace, Keys: []string{identity{rotatingWorkspace, routesVersion}.key()}},
	)
}

// callWithKeys sends requests of both workspaces until the run ends.
func (c *caller) callWithKeys(name string, random *rand.Rand, workspace string) {
	defer c.close()
	for n := 0; !c.vm.run.stopped(); n++ {
		c.identity = identity{workspace: workspace}
		if workspace == rotatingWorkspace {
			c.identity.version, _ = c.vm.run.latestVersion()
			if random.IntN(withdrawnRatio) == 0 {
				c.identity.version = max(c.identity.version-1-random.IntN(maxWithdrawnVersions), 1)
			}
		}
		chosen := keyedRoutes[random.IntN(len(keyedRoutes))]
		switch status := c.call(chosen, fmt.Sprintf("%s-%d", name, n), callerTimeout); {
		case status == 0:
			time.Sleep(redialDelay)
		case status == http.StatusUnauthorized && workspace == cappedWorkspace:
			c.vm.run.ledger.recordViolation("%s answered 401 for a key that all versions have", c.vm.settings.Node)
		}
		time.Sleep(time.Duration(random.Int64N(int64(2 * keyedThinkTime))))
	}
}

// checkIdentity checks the headers of a request that a backend server runs, and that its key was
// not withdrawn long before the request was sent.
func (r *run) checkIdentity(id string, h http.Header) {
	sent, sentAt, known := r.ledger.identityOf(id)
	if !known {
		return
	}
	if keys := operator.ReceivedKeys(h); len(keys) > 0 {
		r.ledger.recordViolation("request %s reached a backend server with a key", id)
	}
	var expected []string
	if sent.workspace != "" {
		expected = []string{sent.workspace}
	}
	if received := operator.ReceivedWorkspace(h); !slices.Equal(received, expected) {
		r.ledger.recordViolation("request %s ran for the workspaces %q, expected %q", id, received, expected)
	}
	if withdrawnAt, ok := r.keyWithdrawnAt(sent); ok && sentAt.Sub(withdrawnAt) > bounds.Revoke {
		r.ledger.recordViolation("request %s ran with the key of version %d, sent %v after the key was withdrawn", id, sent.version, sentAt.Sub(withdrawnAt))
	}
}

// keyWithdrawnAt returns since when the log has had a version without the key.
func (r *run) keyWithdrawnAt(i identity) (at time.Time, ok bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	at, ok = r.withdrawnAt[i.version]
	return at, ok
}

// recordWithdrawn records that the log has acknowledged a version of the routes, which is later
// than the earlier one. The caller holds the lock.
func (r *run) recordWithdrawn(earlier, version int) {
	if r.withdrawnAt == nil {
		r.withdrawnAt = make(map[int]time.Time)
	}
	for withdrawn := max(earlier, 1); withdrawn < version; withdrawn++ {
		r.withdrawnAt[withdrawn] = time.Now()
	}
}

// forgetWithdrawn records that the log was restored to a version of the routes. The caller holds
// the lock.
func (r *run) forgetWithdrawn(version int) {
	for withdrawn := range r.withdrawnAt {
		if withdrawn >= version {
			delete(r.withdrawnAt, withdrawn)
		}
	}
}

// recordIdentity records the workspace and the key of a request that is about to be sent.
func (l *ledger) recordIdentity(id string, i identity) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.requests[id].identity, l.requests[id].sentAt = i, time.Now()
}

// identityOf returns with which identity a request was sent, and when. known is false if no
// caller has sent it.
func (l *ledger) identityOf(id string) (i identity, sentAt time.Time, known bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	e := l.requests[id]
	if e == nil {
		return identity{}, time.Time{}, false
	}
	return e.identity, e.sentAt, true
}

// capAllowed returns the most requests with the cap that may run of those sent within a window.
func capAllowed() int {
	return int((capRate*bounds.CapWindow.Seconds()+capBurst)*(1+bounds.CapOver) + bounds.CapSlack)
}

// checkCap checks that the requests of the capped workspace that were sent within any window and
// have run are within its cap, and returns the largest number in a window.
func (l *ledger) checkCap() (most int) {
	l.mu.Lock()
	defer l.mu.Unlock()
	var sent []time.Time
	for _, e := range l.requests {
		if e.identity.workspace == cappedWorkspace && e.runs > 0 {
			sent = append(sent, e.sentAt)
		}
	}
	slices.SortFunc(sent, time.Time.Compare)
	first, end := 0, time.Time{}
	for n, at := range sent {
		for at.Sub(sent[first]) >= bounds.CapWindow {
			first++
		}
		if number := n - first + 1; number > most {
			most, end = number, at
		}
	}
	if most > capAllowed() {
		l.addViolation("%d requests of workspace %s ran that were sent within the %v until %s, more than the %d that its cap allows",
			most, cappedWorkspace, bounds.CapWindow, end.Format(time.StampMicro), capAllowed())
	}
	return most
}
