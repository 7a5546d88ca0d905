package configcheck

import (
	"fmt"
	"maps"
	"slices"
	"strings"

	"github.com/lacewingslip/lacewingslip/desired"
	"github.com/lacewingslip/lacewingslip/platform"
)

// comparison collects the differences of two documents that nodes accept.
type comparison struct {
	before, after Document
	findings      []Finding
}

// Differences returns what changes by meaning if the document replaces the one in force, and
// the effect on callers. It returns nothing if nodes reject one of them. Removed entries have
// their place in the document in force.
func (d Document) Differences(inForce Document) []Finding {
	if d.State == nil || inForce.State == nil {
		return nil
	}
	c := &comparison{before: inForce, after: d}
	c.compareRoutes()
	c.compareServices()
	c.compareWorkspaces()
	c.compareLimits()
	version, current := d.State.Version(), inForce.State.Version()
	if version < current || version == current && len(c.findings) > 0 {
		c.findings = append([]Finding{d.finding(d.VersionPlace, Error, OldVersion,
			fmt.Sprintf("nodes ignore version %d, since version %d is in force", version, current),
			fmt.Sprintf("a version above %d", current), fmt.Sprint(current+1))}, c.findings...)
	}
	return c.findings
}

func (c *comparison) add(d Document, place platform.Place, kind Kind, format string, args ...any) {
	c.findings = append(c.findings, d.finding(place, Info, kind, fmt.Sprintf(format, args...), "", ""))
}

// change returns the difference of two values, or nothing if they are the same.
func change[T comparable](name string, before, after T) (changes []string) {
	if before == after {
		return nil
	}
	return []string{fmt.Sprintf("%s %v, was %v", name, after, before)}
}

// firstByKey returns the first entry of each key. Later ones have no effect.
func firstByKey[K comparable, T any](entries []platform.Located[T], key func(T) K) map[K]platform.Located[T] {
	byKey := make(map[K]platform.Located[T], len(entries))
	for _, entry := range entries {
		if _, taken := byKey[key(entry.Value)]; !taken {
			byKey[key(entry.Value)] = entry
		}
	}
	return byKey
}

// compareRoutes identifies a route by its host and prefix, since these decide which requests
// it receives.
func (c *comparison) compareRoutes() {
	type match struct{ host, prefix string }
	key := func(r *desired.Route) match { return match{r.Host(), r.Prefix()} }
	before, after := firstByKey(c.before.Routes, key), firstByKey(c.after.Routes, key)
	for _, route := range c.after.Routes {
		r := route.Value
		old, existed := before[key(r)]
		switch {
		case after[key(r)].Value != r:
		case !existed:
			c.add(c.after, route.Place(""), Added, "route %q to %s is added; requests to %s%s were %s", r.Name(), targets(r), r.Host(), r.Prefix(), receiver(c.before, r))
		default:
			if changes := routeChanges(old.Value, r, c.after.State.HasWorkspaces()); len(changes) > 0 {
				c.add(c.after, route.Place(""), Changed, "route %q is changed: %s", r.Name(), strings.Join(changes, "; "))
			}
		}
	}
	for _, route := range c.before.Routes {
		r := route.Value
		if _, exists := after[key(r)]; !exists && before[key(r)].Value == r {
			c.add(c.before, route.Place(""), Removed, "route %q is removed; requests to %s%s are now %s", r.Name(), r.Host(), r.Prefix(), receiver(c.after, r))
		}
	}
}

// receiver states what happens to the requests of a route in a document that lacks it.
func receiver(d Document, r *desired.Route) string {
	if other, ok := d.State.Match(r.Host(), r.Prefix()); ok {
		return fmt.Sprintf("handled by route %q", other.Name())
	}
	return "answered 404"
}

// targets returns the services of a route with their shares.
func targets(r *desired.Route) string {
	if len(r.Targets()) == 1 {
		return r.Targets()[0].Service
	}
	sum := 0.0
	for _, target := range r.Targets() {
		sum += target.Weight
	}
	var texts []string
	for _, target := range r.Targets() {
		texts = append(texts, fmt.Sprintf("%s %.3g%%", target.Service, 100*target.Weight/sum))
	}
	return strings.Join(texts, " and ")
}

func routeChanges(before, after *desired.Route, hasWorkspaces bool) (changes []string) {
	changes = slices.Concat(
		change("name", before.Name(), after.Name()),
		change("services", targets(before), targets(after)),
		change("may run more than once:", before.Kind() == desired.Idempotent, after.Kind() == desired.Idempotent),
		change("time-out", before.Timeout(), after.Timeout()),
		change("response-time goal", before.TargetLatency(), after.TargetLatency()),
		change("attempts", before.Attempts(), after.Attempts()),
		change("priority", before.Priority(), after.Priority()),
	)
	switch {
	case before.Anonymous() == after.Anonymous():
	case after.Anonymous():
		changes = append(changes, "requests need no key")
	case hasWorkspaces:
		changes = append(changes, "requests without a key get 401")
	default:
		changes = append(changes, "requests need a key once there are workspaces")
	}
	return changes
}

func (c *comparison) compareServices() {
	// The last entry of a name applies.
	byName := func(services []platform.Located[platform.NamedService]) map[string]platform.Located[platform.NamedService] {
		last := make(map[string]platform.Located[platform.NamedService])
		for _, service := range services {
			last[service.Value.Name] = service
		}
		return last
	}
	before, after := byName(c.before.Services), byName(c.after.Services)
	for _, name := range slices.Sorted(maps.Keys(after)) {
		service := after[name]
		old, existed := before[name]
		if !existed {
			c.add(c.after, service.Place(""), Added, "service %q is added", name)
			continue
		}
		changes := slices.Concat(
			change("health path", old.Value.HealthPath, service.Value.HealthPath),
			change("maximum connections", old.Value.MaxConnections, service.Value.MaxConnections),
		)
		if len(changes) > 0 {
			c.add(c.after, service.Place(""), Changed, "service %q is changed: %s", name, strings.Join(changes, "; "))
		}
	}
	for _, name := range slices.Sorted(maps.Keys(before)) {
		if _, exists := after[name]; !exists {
			c.add(c.before, before[name].Place(""), Removed, "service %q is removed", name)
		}
	}
}

func (c *comparison) compareWorkspaces() {
	before, after := firstByKey(c.before.Workspaces, (*desired.Workspace).Name), firstByKey(c.after.Workspaces, (*desired.Workspace).Name)
	owners, oldOwners := c.after.keyOwners(), c.before.keyOwners()
	for _, workspace := range c.after.Workspaces {
		w := workspace.Value
		old, existed := before[w.Name()]
		switch {
		case after[w.Name()].Value != w:
		case !existed:
			c.add(c.after, workspace.Place(""), Added, "workspace %q is added with %s and %s", w.Name(), keysText(len(w.Keys())), capText(w))
		default:
			changes := slices.Concat(
				change("cap", capText(old.Value), capText(w)),
				change("priority", priorityText(old.Value), priorityText(w)),
			)
			if len(changes) > 0 {
				c.add(c.after, workspace.Place(""), Changed, "workspace %q is changed: %s", w.Name(), strings.Join(changes, "; "))
			}
		}
	}
	for _, workspace := range c.before.Workspaces {
		if w := workspace.Value; before[w.Name()].Value == w && after[w.Name()].Value == nil {
			c.add(c.before, workspace.Place(""), Removed, "workspace %q is removed", w.Name())
		}
	}
	c.compareKeys(c.after, owners, oldOwners, func(key desired.KeyDigest, owner, old string, existed bool) (Kind, string) {
		if existed {
			return Changed, fmt.Sprintf("the key with the digest %x moves from workspace %q to %q", key, old, owner)
		}
		return Added, fmt.Sprintf("workspace %q has the new key with the digest %x", owner, key)
	})
	c.compareKeys(c.before, oldOwners, owners, func(key desired.KeyDigest, owner, _ string, existed bool) (Kind, string) {
		switch {
		case existed:
			return "", ""
		case !c.after.State.HasWorkspaces():
			return Removed, fmt.Sprintf("workspace %q loses the key with the digest %x", owner, key)
		}
		return Removed, fmt.Sprintf("workspace %q loses the key with the digest %x; requests with it get 401", owner, key)
	})
	switch had, has := c.before.State.HasWorkspaces(), c.after.State.HasWorkspaces(); {
	case has && !had:
		c.add(c.after, c.after.VersionPlace, Changed, "there were no workspaces before: requests without a key get 401, except on anonymous routes")
	case had && !has:
		c.add(c.after, c.after.VersionPlace, Changed, "there are no workspaces any more: requests need no key")
	}
}

// compareKeys adds a finding for each key of the document whose owner differs in the other
// one. describe returns an empty kind for no finding.
func (c *comparison) compareKeys(d Document, owners, others map[desired.KeyDigest]string,
	describe func(key desired.KeyDigest, owner, other string, existed bool) (Kind, string),
) {
	seen := make(map[desired.KeyDigest]bool)
	for _, workspace := range d.Workspaces {
		for _, key := range workspace.Value.Keys() {
			other, existed := others[key]
			if seen[key] || existed && other == owners[key] {
				continue
			}
			seen[key] = true
			if kind, text := describe(key, owners[key], other, existed); kind != "" {
				c.add(d, workspace.Place(platform.FieldKeys), kind, "%s", text)
			}
		}
	}
}

// keyOwners returns the name of the workspace that has each key.
func (d Document) keyOwners() map[desired.KeyDigest]string {
	owners := make(map[desired.KeyDigest]string)
	for _, workspace := range d.Workspaces {
		for _, key := range workspace.Value.Keys() {
			if _, taken := owners[key]; !taken {
				owners[key] = workspace.Value.Name()
			}
		}
	}
	return owners
}

func keysText(n int) string {
	if n == 1 {
		return "1 key"
	}
	return fmt.Sprintf("%d keys", n)
}

func capText(w *desired.Workspace) string {
	if w.Rate() <= 0 {
		return "no cap"
	}
	return fmt.Sprintf("%v requests/s with a burst of %v", w.Rate(), w.Burst())
}

func priorityText(w *desired.Workspace) string {
	if priority, ok := w.Priority(); ok {
		return fmt.Sprint(priority)
	}
	return "of the route"
}

func (c *comparison) compareLimits() {
	before, after := c.before.State.Limits(), c.after.State.Limits()
	changes := slices.Concat(
		change("maximum header size", before.HeaderBytes, after.HeaderBytes),
		change("maximum body size", before.BodyBytes, after.BodyBytes),
		change("header time-out", before.HeaderTimeout, after.HeaderTimeout),
		change("idle time-out", before.IdleTimeout, after.IdleTimeout),
	)
	if len(changes) > 0 {
		c.add(c.after, c.after.VersionPlace, Changed, "the limits for callers are changed (0 is the node's default): %s", strings.Join(changes, "; "))
	}
}
