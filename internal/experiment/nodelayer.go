package experiment

import (
	"bytes"
	"context"
	"crypto/ed25519"
	"encoding/base64"
	"encoding/json"
	"fmt"
	"maps"
	"net/http"
	"slices"
	"strings"
	"sync/atomic"
	"time"

	"golang.org/x/sync/errgroup"
	"gopkg.in/yaml.v3"

	"github.com/lacewingslip/lacewingslip/internal/loopback"
	"github.com/lacewingslip/lacewingslip/internal/standin/logservice"
	"github.com/lacewingslip/lacewingslip/node"
	"github.com/lacewingslip/lacewingslip/settings"
)

const (
	convergenceTimeout      = 20 * time.Second
	convergencePollInterval = 50 * time.Millisecond
	retryTokens             = 3
)

// nodeLayer is the contestant with one node beside each backend server.
type nodeLayer struct {
	env      *environment
	nodes    map[*backend]*node.Node
	byRegion map[string][]*node.Node
	next     atomic.Uint64
}

func (l *nodeLayer) start(ctx context.Context, env *environment) (err error) {
	l.env, l.nodes, l.byRegion = env, make(map[*backend]*node.Node), make(map[string][]*node.Node)
	log := logservice.New()
	root, branch, err := env.file.settingsTree()
	if err != nil {
		return err
	}
	key, offset, err := loopback.Publish(ctx, log, root, branch)
	if err != nil {
		return err
	}
	public := base64.StdEncoding.EncodeToString(key.Public().(ed25519.PublicKey))
	seeds := ""
	for i, b := range env.backends {
		if err := l.startNode(ctx, i, b, log, public, seeds); err != nil {
			return err
		}
		seeds = fmt.Sprintf("%q", l.nodes[env.backends[0]].PeerAddress())
	}
	return l.awaitConvergence(ctx, offset)
}

func (l *nodeLayer) startNode(ctx context.Context, i int, b *backend, log *logservice.Service, public, seeds string) error {
	// The node uses the journal in this process. The address of the log is required
	// but not used.
	file, err := node.ParseFile(fmt.Appendf(nil,
		"{node: n%d, region: %s, availabilityZone: %s, rootPublicKey: %q, seeds: [%s], log: '127.0.0.1:1', stopDelay: 0s, stopDeadline: 1s, "+
			"listen: {caller: '127.0.0.1:0', backend: '127.0.0.1:0', peer: '127.0.0.1:0', operator: '127.0.0.1:0'}}",
		i+1, b.region, b.zone, public, seeds))
	if err != nil {
		return err
	}
	n, err := node.New(file, node.WithJournal(log))
	if err != nil {
		return err
	}
	if err := n.Start(ctx); err != nil {
		return err
	}
	l.nodes[b] = n
	l.byRegion[b.region] = append(l.byRegion[b.region], n)
	return announce(ctx, n.BackendAddress(), b)
}

func announce(ctx context.Context, address string, b *backend) error {
	body, err := json.Marshal(map[string]any{"service": b.service, "address": b.address, "slots": b.Slots, "connections": b.Connections})
	if err != nil {
		return err
	}
	request, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+address+"/lacewingslip/v1/announcement", bytes.NewReader(body))
	if err != nil {
		return err
	}
	answer, err := http.DefaultClient.Do(request)
	if err != nil {
		return err
	}
	defer answer.Body.Close()
	if answer.StatusCode >= http.StatusMultipleChoices {
		return fmt.Errorf("announcement of service %s: HTTP status %d", b.service, answer.StatusCode)
	}
	return nil
}

// awaitConvergence waits until every node has the settings up to the offset and all
// upstreams.
func (l *nodeLayer) awaitConvergence(ctx context.Context, offset int64) error {
	ctx, cancel := context.WithTimeout(ctx, convergenceTimeout)
	defer cancel()
	for {
		settled := true
		for _, n := range l.nodes {
			settled = settled && n.Upstreams() == len(l.nodes) && n.SettingsOffset() >= offset
		}
		if settled {
			return nil
		}
		select {
		case <-ctx.Done():
			return fmt.Errorf("nodes did not learn the settings and all upstreams in time: %w", ctx.Err())
		case <-time.After(convergencePollInterval):
		}
	}
}

func (l *nodeLayer) callerURL(region, _ string) string {
	nodes := l.byRegion[region]
	return "http://" + nodes[l.next.Add(1)%uint64(len(nodes))].CallerAddress()
}

func (l *nodeLayer) childURL(b *backend, _ string) string {
	return "http://" + l.nodes[b].BackendAddress()
}

func (l *nodeLayer) stop() {
	var group errgroup.Group
	for _, n := range l.nodes {
		group.Go(func() error { return n.Stop(context.Background()) })
	}
	// Errors are ignored: the run is over, and calls still in progress may fail.
	_ = group.Wait()
}

// settingsTree returns the settings tree for the file's services, all of which belong
// to one team.
func (f *File) settingsTree() (root, branch settings.File, err error) {
	// loopback.Publish replaces this placeholder by a new key.
	key := base64.StdEncoding.EncodeToString(make([]byte, ed25519.PublicKeySize))
	names := slices.Sorted(maps.Keys(f.Services))
	root = settings.File{Name: "root.yaml", Text: fmt.Appendf(nil, "teams: {all: {publicKey: %q, services: [%s]}}\n", key, strings.Join(names, ", "))}
	services := make(map[string]any)
	for name, b := range f.Services {
		services[name] = map[string]any{
			"slots": b.Slots, "connections": b.Connections, "warmUp": millis(b.ColdTime), "routes": f.routes(name),
		}
	}
	text, err := yaml.Marshal(map[string]any{"services": services})
	return root, settings.File{Name: "all.yaml", Text: text}, err
}

func (f *File) routes(service string) []any {
	routes := []any{map[string]any{"path": "/child", "importance": "normal", "timeout": millis(f.Timeout), "retries": retryTokens}}
	for _, class := range f.Classes {
		if class.Service != service {
			continue
		}
		route := map[string]any{
			"path": "/" + class.Name, "importance": class.Importance, "timeout": millis(f.Timeout), "retries": retryTokens,
		}
		if class.Booking {
			route["repeat"], route["keyRequired"] = "never", false
		}
		routes = append(routes, route)
	}
	return routes
}

// millis formats a duration as the settings expect it.
func millis(d time.Duration) string { return fmt.Sprintf("%dms", d.Milliseconds()) }
