package settings

import (
	"crypto/ed25519"
	"fmt"
	"net/http"
	"path/filepath"
	"regexp"
	"slices"
	"strings"
	"time"

	"gopkg.in/yaml.v3"

	"github.com/lacewingslip/lacewingslip/call"
)

// Bounds and defaults of settings.
const (
	maxBranchBytes  = 64 << 10
	maxSlots        = 10_000
	maxConnections  = 100_000
	maxQueueLength  = 100_000
	maxWarmUp       = 10 * time.Minute
	minTimeout      = time.Millisecond
	maxMaxBody      = 64 << 20
	minKeyValidity  = time.Minute
	maxKeyValidity  = 24 * time.Hour
	defaultTimeout  = 2 * time.Second
	defaultRetries  = 3
	defaultMaxBody  = 1 << 20
	defaultWarmUp   = 10 * time.Second
	floorFraction   = 10
	queueMultiplier = 2

	// Wall clocks may differ by a minute, and a caller-chosen key is refused
	// that long before it expires, so a validity of a minute would leave nothing.
	minCallerKeyValidity     = 5 * time.Minute
	defaultKeyValidity       = 10 * time.Minute
	defaultCallerKeyValidity = time.Hour
)

// File is the text of one branch.
type File struct {
	// Name is the file's name in errors. Its base without the extension names
	// the branch.
	Name string
	// Text is YAML.
	Text []byte
}

// Branch returns the name of the branch that the file holds.
func (f File) Branch() string {
	base := filepath.Base(f.Name)
	return strings.TrimSuffix(base, filepath.Ext(base))
}

// Parse checks the root branch and the branches of teams, and returns the tree
// that they form. The error is an [InvalidError] that lists all problems.
func Parse(root File, branches ...File) (t *Tree, err error) {
	rootDocument := &document{file: root.Name}
	parsedRoot := parseRoot(rootDocument, root.Text)
	documents := []*document{rootDocument}
	parsed := make(map[string][]Service)
	for _, file := range branches {
		d := &document{file: file.Name}
		documents = append(documents, d)
		if _, taken := parsed[file.Branch()]; taken {
			d.fail(&yaml.Node{}, "second file for the branch %q", file.Branch())
			continue
		}
		parsed[file.Branch()] = parseBranch(d, file.Branch(), file.Text, parsedRoot)
	}
	if err := invalid(documents...); err != nil {
		return nil, err
	}
	return newTree(parsedRoot, parsed), nil
}

type rootBranch struct {
	defaults          defaults
	teams             map[string]team
	keyValidity       time.Duration
	callerKeyValidity time.Duration
}

type defaults struct {
	timeout     time.Duration
	retries     int
	maxBody     int64
	keyRequired bool
	warmUp      time.Duration
}

type team struct {
	publicKey ed25519.PublicKey
	services  []string
}

func emptyRoot() rootBranch {
	return rootBranch{
		defaults: defaults{
			timeout: defaultTimeout, retries: defaultRetries, maxBody: defaultMaxBody, keyRequired: true, warmUp: defaultWarmUp,
		},
		teams:             make(map[string]team),
		keyValidity:       defaultKeyValidity,
		callerKeyValidity: defaultCallerKeyValidity,
	}
}

func parseRoot(d *document, text []byte) rootBranch {
	root := emptyRoot()
	node := d.parse(text)
	if node == nil {
		if len(d.problems) == 0 {
			d.fail(&yaml.Node{}, "file is empty; expected the key %q", "teams")
		}
		return root
	}
	d.mapping(
		node, "the root branch",
		field{name: "defaults", read: func(n *yaml.Node) { parseDefaults(d, n, &root.defaults) }},
		field{name: "keyValidity", read: func(n *yaml.Node) {
			set(&root.keyValidity)(d.duration(n, "keyValidity", minKeyValidity, maxKeyValidity))
		}},
		field{name: "callerKeyValidity", read: func(n *yaml.Node) {
			set(&root.callerKeyValidity)(d.duration(n, "callerKeyValidity", minCallerKeyValidity, maxKeyValidity))
		}},
		field{name: "teams", required: true, read: func(n *yaml.Node) { parseTeams(d, n, root.teams) }},
	)
	return root
}

func parseDefaults(d *document, node *yaml.Node, to *defaults) {
	d.mapping(
		node, "defaults",
		field{name: "timeout", read: func(n *yaml.Node) {
			set(&to.timeout)(d.duration(n, "timeout", minTimeout, call.MaxTimeout))
		}},
		field{name: "retries", read: func(n *yaml.Node) { set(&to.retries)(d.integer(n, "retries", 0, call.MaxTokens)) }},
		field{name: "maxBody", read: func(n *yaml.Node) { set(&to.maxBody)(d.size(n, "maxBody", 0, maxMaxBody)) }},
		field{name: "keyRequired", read: func(n *yaml.Node) { set(&to.keyRequired)(d.boolean(n, "keyRequired")) }},
		field{name: "warmUp", read: func(n *yaml.Node) { set(&to.warmUp)(d.duration(n, "warmUp", 0, maxWarmUp)) }},
	)
}

func parseTeams(d *document, node *yaml.Node, teams map[string]team) {
	owners := make(map[string]string)
	d.entries(node, "teams", func(key, value *yaml.Node) {
		if !d.name(key, "team", RootBranch) {
			return
		}
		teams[key.Value] = parseTeam(d, key.Value, value, owners)
	})
}

func parseTeam(d *document, name string, node *yaml.Node, owners map[string]string) (t team) {
	what := fmt.Sprintf("team %q", name)
	d.mapping(
		node, what,
		field{name: "publicKey", required: true, read: func(n *yaml.Node) { t.publicKey = d.publicKey(n) }},
		field{name: "services", required: true, read: func(n *yaml.Node) {
			d.items(n, "services of "+what, func(item *yaml.Node) {
				if !d.name(item, "service", reservedService) {
					return
				}
				if owner, taken := owners[item.Value]; taken {
					d.fail(item, "service %q is listed twice; team %q already owns it", item.Value, owner)
					return
				}
				owners[item.Value] = name
				t.services = append(t.services, item.Value)
			})
		}},
	)
	return t
}

// reservedService can't be a service: the paths of the nodes' API begin with it.
const reservedService = "lacewingslip"

var nameForm = regexp.MustCompile(`^[a-z][a-z0-9-]{0,62}$`)

func (d *document) name(node *yaml.Node, what, reserved string) bool {
	text, ok := d.text(node, "name of a "+what)
	if !ok {
		return false
	}
	if !nameForm.MatchString(text) {
		d.fail(node, "name of a %s is %q; expected a lower-case letter, then up to 62 lower-case letters, digits or hyphens", what, text)
		return false
	}
	if text == reserved {
		d.fail(node, "%q is reserved and can't name a %s", text, what)
		return false
	}
	return true
}

func (d *document) publicKey(node *yaml.Node) ed25519.PublicKey {
	text, ok := d.text(node, "publicKey")
	if !ok {
		return nil
	}
	key, err := ParsePublicKey(text)
	if err != nil {
		d.fail(node, "%s", err)
	}
	return key
}

// parseBranch reads a team's branch. An empty file is a branch without services.
func parseBranch(d *document, name string, text []byte, root rootBranch) (services []Service) {
	owner, known := root.teams[name]
	if !known {
		d.fail(&yaml.Node{}, "no team %q in the root branch%s", name, suggest(name, teamNames(root)))
	}
	node := d.parse(text)
	if node == nil {
		return nil
	}
	d.mapping(node, "the branch of team "+name, field{name: "services", required: true, read: func(n *yaml.Node) {
		d.entries(n, "services", func(key, value *yaml.Node) {
			switch {
			case !d.name(key, "service", reservedService):
			case known && !slices.Contains(owner.services, key.Value):
				d.fail(key, "service %q does not belong to team %q%s", key.Value, name, suggest(key.Value, owner.services))
			default:
				services = append(services, parseService(d, name, key.Value, value, root.defaults))
			}
		})
	}})
	return services
}

func parseService(d *document, team, name string, node *yaml.Node, from defaults) Service {
	what := fmt.Sprintf("service %q", name)
	s := Service{Name: name, Team: team, WarmUp: from.warmUp, Floor: -1, QueueLength: -1}
	var connectionsNode, floorNode *yaml.Node
	d.mapping(
		node, what,
		field{name: "slots", required: true, read: func(n *yaml.Node) { set(&s.Slots)(d.integer(n, "slots", 1, maxSlots)) }},
		field{name: "connections", required: true, read: func(n *yaml.Node) {
			connectionsNode = n
			set(&s.Connections)(d.integer(n, "connections", 1, maxConnections))
		}},
		field{name: "floor", read: func(n *yaml.Node) {
			floorNode = n
			set(&s.Floor)(d.integer(n, "floor", 1, maxSlots))
		}},
		field{name: "queueLength", read: func(n *yaml.Node) { set(&s.QueueLength)(d.integer(n, "queueLength", 0, maxQueueLength)) }},
		field{name: "warmUp", read: func(n *yaml.Node) { set(&s.WarmUp)(d.duration(n, "warmUp", 0, maxWarmUp)) }},
		field{name: "routes", required: true, read: func(n *yaml.Node) {
			d.items(n, "routes of "+what, func(item *yaml.Node) { s.Routes = append(s.Routes, parseRoute(d, item, from, s.Routes)) })
		}},
	)
	if connectionsNode != nil && s.Connections > 0 && s.Connections < s.Slots {
		d.fail(connectionsNode, "connections is %d; expected at least slots, %d, because each running call needs one", s.Connections, s.Slots)
	}
	if floorNode != nil && s.Floor > s.Slots && s.Slots > 0 {
		d.fail(floorNode, "floor is %d; expected at most slots, %d", s.Floor, s.Slots)
	}
	if s.Floor < 0 {
		s.Floor = max(s.Slots/floorFraction, 1)
	}
	if s.QueueLength < 0 {
		s.QueueLength = queueMultiplier * s.Slots
	}
	return s
}

var methods = []string{
	http.MethodGet, http.MethodHead, http.MethodPost, http.MethodPut, http.MethodPatch, http.MethodDelete, http.MethodOptions,
}

func parseRoute(d *document, node *yaml.Node, from defaults, earlier []Route) Route {
	r := Route{Importance: call.Normal, Timeout: from.timeout, Retries: from.retries, KeyRequired: from.keyRequired, MaxBody: from.maxBody}
	var keyRequiredNode *yaml.Node
	pathNode := node
	d.mapping(
		node, "route",
		field{name: "path", required: true, read: func(n *yaml.Node) {
			pathNode = n
			r.Path = d.routePath(n)
		}},
		field{name: "methods", read: func(n *yaml.Node) { r.Methods = d.methods(n) }},
		field{name: "importance", read: func(n *yaml.Node) {
			set(&r.Importance)(enum(d, n, "importance", call.Importances()))
		}},
		field{name: "repeat", read: func(n *yaml.Node) { set(&r.Repeat)(enum(d, n, "repeat", call.RepeatPolicies())) }},
		field{name: "timeout", read: func(n *yaml.Node) {
			set(&r.Timeout)(d.duration(n, "timeout", minTimeout, call.MaxTimeout))
		}},
		field{name: "retries", read: func(n *yaml.Node) { set(&r.Retries)(d.integer(n, "retries", 0, call.MaxTokens)) }},
		field{name: "keyRequired", read: func(n *yaml.Node) {
			keyRequiredNode = n
			set(&r.KeyRequired)(d.boolean(n, "keyRequired"))
		}},
		field{name: "maxBody", read: func(n *yaml.Node) { set(&r.MaxBody)(d.size(n, "maxBody", 0, maxMaxBody)) }},
	)
	if keyRequiredNode != nil && !r.Booking() {
		d.fail(keyRequiredNode, "keyRequired is set; expected it only on a route with repeat: never")
	}
	r.KeyRequired = r.KeyRequired && r.Booking()
	for _, other := range earlier {
		if r.Path != "" && r.Path == other.Path && overlap(r.Methods, other.Methods) {
			d.fail(pathNode, "path %q occurs twice for the same method", r.Path)
			break
		}
	}
	return r
}

func (d *document) routePath(node *yaml.Node) string {
	text, ok := d.text(node, "path")
	if !ok {
		return ""
	}
	if !isClean(text) || strings.ContainsAny(text, "?#%") {
		d.fail(node, "path is %q; expected a decoded path that begins with / and has no empty, . or .. segment and no ?, # or %%", text)
		return ""
	}
	return text
}

func (d *document) methods(node *yaml.Node) (result []string) {
	d.items(node, "methods", func(item *yaml.Node) {
		text, ok := d.text(item, "method")
		switch {
		case !ok:
		case !slices.Contains(methods, text):
			d.fail(item, "method is %q; expected %s%s", text, list(methods), suggest(text, methods))
		case slices.Contains(result, text):
			d.fail(item, "method %q occurs twice", text)
		default:
			result = append(result, text)
		}
	})
	if node.Kind == yaml.SequenceNode && len(node.Content) == 0 {
		d.fail(node, "methods is empty; expected at least one, or leave the key out for all methods")
	}
	return result
}

// overlap reports whether two lists of methods share one. An empty list stands
// for all.
func overlap(a, b []string) bool {
	if len(a) == 0 || len(b) == 0 {
		return true
	}
	return slices.ContainsFunc(a, func(method string) bool { return slices.Contains(b, method) })
}

// set stores a value that was read without a problem.
func set[T any](to *T) func(value T, ok bool) {
	return func(value T, ok bool) {
		if ok {
			*to = value
		}
	}
}

func teamNames(root rootBranch) (result []string) {
	for name := range root.teams {
		result = append(result, name)
	}
	slices.Sort(result)
	return result
}
