// Package loopback runs a small system inside one process, for tests, the demo and
// experiments. It consists of a stand-in log service, nodes, and a stand-in backend server
// beside each node, all on loopback addresses.
//
// # Usage
//
//	system, err := loopback.Start(ctx, loopback.WithTree(root, branches...),
//		loopback.WithUpstream("addis", "addis-a", backend.New("orders")))
//	defer system.Stop(ctx)
//	answer, err := http.Get("http://" + system.Caller(0) + "/orders/stock")
package loopback

import (
	"context"
	"crypto/ed25519"
	"encoding/base64"
	"fmt"
	"log/slog"
	"net"
	"net/http"
	"strings"
	"time"

	"github.com/rotisserie/eris"
	"golang.org/x/sync/errgroup"

	"github.com/lacewingslip/lacewingslip/appendlog"
	"github.com/lacewingslip/lacewingslip/internal/standin/backend"
	"github.com/lacewingslip/lacewingslip/internal/standin/logservice"
	"github.com/lacewingslip/lacewingslip/node"
	"github.com/lacewingslip/lacewingslip/settings"
)

const (
	anyPortAddress = "127.0.0.1:0"
	// pollInterval is the pause between two checks whether all nodes know each other
	// and have the settings.
	pollInterval        = 20 * time.Millisecond
	defaultStopDeadline = 10 * time.Second
)

// Upstream is a backend server with the node beside it.
type Upstream struct {
	region, zone string
	backend      *backend.Backend
	node         *node.Node
	server       *http.Server
	address      string
}

// Node returns the node beside the backend server.
func (u *Upstream) Node() *node.Node { return u.node }

// Backend returns the stand-in backend server.
func (u *Upstream) Backend() *backend.Backend { return u.backend }

// System is a running system.
type System struct {
	log        *logservice.Service
	logServer  *http.Server
	logAddress string
	rootKey    ed25519.PrivateKey
	root       settings.File
	branches   []settings.File
	upstreams  []*Upstream
	logger     *slog.Logger
	// stopDeadline is the stop deadline of every node.
	stopDeadline time.Duration
	// publishedOffset is the settings offset that a node reaches once it has the whole
	// tree.
	publishedOffset int64
}

// Option configures a system before it starts.
type Option func(*System)

// WithTree sets the settings tree that is published before the nodes start.
func WithTree(root settings.File, branches ...settings.File) Option {
	return func(s *System) { s.root, s.branches = root, branches }
}

// WithUpstream adds a backend server and a node beside it.
func WithUpstream(region, zone string, b *backend.Backend) Option {
	return func(s *System) { s.upstreams = append(s.upstreams, &Upstream{region: region, zone: zone, backend: b}) }
}

// WithLogger sets the logger of all nodes.
func WithLogger(logger *slog.Logger) Option { return func(s *System) { s.logger = logger } }

// WithStopDeadline sets how long a planned stop of a node waits for calls in progress.
func WithStopDeadline(d time.Duration) Option { return func(s *System) { s.stopDeadline = d } }

// Start starts the system and waits until each node has the settings and knows all
// upstreams.
func Start(ctx context.Context, opts ...Option) (s *System, err error) {
	defer func() { err = eris.Wrap(err, "start loopback system") }()
	s = &System{log: logservice.New(), logger: slog.New(slog.DiscardHandler), stopDeadline: defaultStopDeadline}
	for _, opt := range opts {
		opt(s)
	}
	if err = s.start(ctx); err != nil {
		s.Stop(context.Background())
		return nil, err
	}
	return s, nil
}

// Log returns the stand-in log service.
func (s *System) Log() *logservice.Service { return s.log }

// Upstreams returns the upstreams in the order in which they were added.
func (s *System) Upstreams() []*Upstream { return s.upstreams }

// Caller returns the address for callers of the node with the index.
func (s *System) Caller(i int) string { return s.upstreams[i].node.CallerAddress() }

// Stop stops the nodes, then the backend servers and the log service.
func (s *System) Stop(ctx context.Context) {
	var group errgroup.Group
	for _, u := range s.upstreams {
		if u.node != nil {
			group.Go(func() error { return u.node.Stop(ctx) })
		}
	}
	// Errors are ignored: a node that fails to stop in time must not keep the servers
	// below from being closed.
	_ = group.Wait()
	for _, u := range s.upstreams {
		if u.server != nil {
			u.server.Close()
		}
	}
	if s.logServer != nil {
		s.logServer.Close()
	}
}

func (s *System) start(ctx context.Context) (err error) {
	if s.logServer, s.logAddress, err = serve(s.log); err != nil {
		return err
	}
	if err = s.publish(ctx); err != nil {
		return err
	}
	for i, u := range s.upstreams {
		if err = s.startUpstream(ctx, i, u); err != nil {
			return err
		}
	}
	return s.waitReady(ctx)
}

func (s *System) publish(ctx context.Context) (err error) {
	s.rootKey, s.publishedOffset, err = Publish(ctx, appendlog.New(s.logAddress), s.root, s.branches...)
	return err
}

// Publish generates keys, writes the public keys into the root branch of a settings tree,
// signs every branch and appends it to the log. A node that has reached the returned
// settings offset has the whole tree.
func Publish(ctx context.Context, log appendlog.Journal, root settings.File, branches ...settings.File) (
	rootKey ed25519.PrivateKey, offset int64, err error,
) {
	tree, err := settings.Parse(root, branches...)
	if err != nil {
		return nil, 0, err
	}
	public, rootKey, err := ed25519.GenerateKey(nil)
	if err != nil {
		return nil, 0, err
	}
	root, keys, err := withFreshKeys(root, tree)
	if err != nil {
		return nil, 0, err
	}
	history := settings.NewHistory(public)
	if err = publishBranch(ctx, log, history, root, rootKey); err != nil {
		return nil, 0, err
	}
	for _, branch := range branches {
		if err = publishBranch(ctx, log, history, branch, keys[branch.Branch()]); err != nil {
			return nil, 0, err
		}
	}
	return rootKey, history.Offset(), nil
}

// publishBranch signs the first revision of a branch and appends it to the log.
func publishBranch(ctx context.Context, log appendlog.Journal, history *settings.History, branch settings.File,
	key ed25519.PrivateKey,
) (err error) {
	defer func() { err = eris.Wrapf(err, "publish branch %q", branch.Branch()) }()
	if key == nil {
		return fmt.Errorf("the root branch has no team of this name")
	}
	change, err := settings.NewChange(branch.Branch(), 0, branch.Text)
	if err != nil {
		return err
	}
	verdict, err := settings.Publish(ctx, log, history, change.Sign(key), settings.Nodes{})
	if err != nil {
		return err
	}
	if verdict.Kind != settings.Accepted {
		return fmt.Errorf("change was not accepted: %s", verdict.Reason)
	}
	return nil
}

// withFreshKeys replaces the public keys of the teams in the root branch by generated ones,
// and returns the private keys.
func withFreshKeys(root settings.File, tree *settings.Tree) (fresh settings.File, keys map[string]ed25519.PrivateKey, err error) {
	keys = make(map[string]ed25519.PrivateKey)
	text := string(root.Text)
	for _, team := range tree.Teams() {
		old, _ := tree.PublicKey(team)
		public, private, err := ed25519.GenerateKey(nil)
		if err != nil {
			return settings.File{}, nil, err
		}
		keys[team] = private
		text = strings.ReplaceAll(text, base64.StdEncoding.EncodeToString(old), base64.StdEncoding.EncodeToString(public))
	}
	return settings.File{Name: root.Name, Text: []byte(text)}, keys, nil
}

func (s *System) startUpstream(ctx context.Context, i int, u *Upstream) (err error) {
	file, err := node.ParseFile([]byte(s.nodeFile(i, u)))
	if err != nil {
		return err
	}
	if u.node, err = node.New(file, node.WithLogger(s.logger)); err != nil {
		return err
	}
	if err = u.node.Start(ctx); err != nil {
		return err
	}
	if u.server, u.address, err = serve(u.backend); err != nil {
		return err
	}
	return u.backend.Announce(ctx, u.node.BackendAddress(), u.address)
}

func (s *System) nodeFile(i int, u *Upstream) (text string) {
	seeds := "[]"
	if i > 0 {
		seeds = "[" + `"` + s.upstreams[0].node.PeerAddress() + `"` + "]"
	}
	public := s.rootKey.Public().(ed25519.PublicKey)
	return strings.Join([]string{
		fmt.Sprintf("node: n%d", i+1),
		"region: " + u.region,
		"availabilityZone: " + u.zone,
		fmt.Sprintf("listen: {caller: %q, backend: %q, peer: %q, operator: %q}", anyPortAddress, anyPortAddress, anyPortAddress, anyPortAddress),
		"seeds: " + seeds,
		fmt.Sprintf("log: %q", s.logAddress),
		"rootPublicKey: " + base64.StdEncoding.EncodeToString(public),
		"stopDeadline: " + s.stopDeadline.String(),
		"stopDelay: 0s",
	}, "\n")
}

// waitReady waits until every node knows every upstream and has the whole settings tree.
func (s *System) waitReady(ctx context.Context) (err error) {
	for {
		ready := true
		for _, u := range s.upstreams {
			ready = ready && u.node.Upstreams() == len(s.upstreams) && u.node.SettingsOffset() >= s.publishedOffset
		}
		if ready {
			return nil
		}
		select {
		case <-ctx.Done():
			return eris.Wrap(ctx.Err(), "nodes did not get the settings and all upstreams in time")
		case <-time.After(pollInterval):
		}
	}
}

func serve(handler http.Handler) (server *http.Server, address string, err error) {
	listener, err := net.Listen("tcp", anyPortAddress)
	if err != nil {
		return nil, "", err
	}
	server = &http.Server{Handler: handler, ReadHeaderTimeout: time.Second}
	go func() { _ = server.Serve(listener) }()
	return server, listener.Addr().String(), nil
}
