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
	maxBranchBytes            = 64 << 10
	maxSlots                  = 10_000
	maxConnections            = 100_000
	maxQueueLength            = 100_000
	maxWarmUp                 = 10 * time.Minute
	minTimeout                = time.Millisecond
	maxBodyLimit              = 64 << 20
	minKeyValidity            = time.Minute
	maxKeyValidity            = 24 * time.Hour
	defaultTimeout            = 2 * time.Second
	defaultRetries            = 3
	defaultMaxBody            = 1 << 20
	defaultWarmUp             = 10 * time.Second
	defaultFloorDivisor       = 10
	defaultQueueLengthPerSlot = 2

	// minCallerKeyValidity is longer than the margins at both ends of the validity:
	// wall clocks may differ by a minute, and a caller-chosen key is refused a minute
	// before it expires. With a validity of one minute, every key would be refused.
	minCallerKeyValidity     = 5 * time.Minute
	defaultKeyValidity       = 10 * time.Minute
	defaultCallerKeyValidity = time.Hour
)

// File is the text of one branch.
type File struct {
	// Name is the file name used in errors. Its base name without the extension is
	// the name of the branch.
	Name string
	// Text is the YAML content.
	Text []byte
}

// Branch returns the name of the branch, derived from the file name.
func (f File) Branch() string {
	base := filepath.Base(f.Name)
	return strings.TrimSuffix(base, filepath.Ext(base))
}

// Parse validates the root branch and the team branches, and returns the resulting
// tree. The error is an [*InvalidError] that lists all problems.
func Parse(root File, branches ...File) (t *Tree, err error) {
	rootDocument := &document{file: root.Name}
	parsedRoot := parseRoot(rootDocument, root.Text)
	documents := []*document{rootDocument}
	parsed := make(map[string][]Service)
	for _, file := range branches {
		d := &document{file: file.Name}
		documents = append(documents, d)
		if _, taken := parsed[file.Branch()]; taken {
			d.addProblem(&yaml.Node{}, "second file for the branch %q", file.Branch())
			continue
		}
		parsed[file.Branch()] = parseBranch(d, file.Branch(), file.Text, parsedRoot)
	}
	if err := problemsError(documents...); err != nil {
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

func defaultRoot() rootBranch {
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
	root := defaultRoot()
	node := d.parse(text)
	if node == nil {
		if len(d.problems) == 0 {
			d.addProblem(&yaml.Node{}, "file is empty; expected the key %q", "teams")
		}
		return root
	}
	d.mapping(
		node, "the root branch",
		field{name: "defaults", read: func(n *yaml.Node) { parseDefaults(d, n, &root.defaults) }},
		field{name: "keyValidity", read: func(n *yaml.Node) {
			storeIfValid(&root.keyValidity)(d.duration(n, "keyValidity", minKeyValidity, maxKeyValidity))
		}},
		field{name: "callerKeyValidity", read: func(n *yaml.Node) {
			storeIfValid(&root.callerKeyValidity)(d.duration(n, "callerKeyValidity", minCallerKeyValidity, maxKeyValidity))
		}},
		field{name: "teams", required: true, read: func(n *yaml.Node) { parseTeams(d, n, root.teams) }},
	)
	return root
}

func parseDefaults(d *document, node *yaml.Node, target *defaults) {
	d.mapping(
		node, "defaults",
		field{name: "timeout", read: func(n *yaml.Node) {
			storeIfValid(&target.timeout)(d.duration(n, "timeout", minTimeout, call.MaxTimeout))
		}},
		field{name: "retries", read: func(n *yaml.Node) { storeIfValid(&target.retries)(d.integer(n, "retries", 0, call.MaxTokens)) }},
		field{name: "maxBody", read: func(n *yaml.Node) { storeIfValid(&target.maxBody)(d.size(n, "maxBody", 0, maxBodyLimit)) }},
		field{name: "keyRequired", read: func(n *yaml.Node) { storeIfValid(&target.keyRequired)(d.boolean(n, "keyRequired")) }},
		field{name: "warmUp", read: func(n *yaml.Node) { storeIfValid(&target.warmUp)(d.duration(n, "warmUp", 0, maxWarmUp)) }},
	)
}

func parseTeams(d *document, node *yaml.Node, teams map[string]team) {
	owners := make(map[string]string)
	d.mappingEntries(node, "teams", func(key, value *yaml.Node) {
		if !d.checkName(key, "team", RootBranch) {
			return
		}
		teams[key.Value] = parseTeam(d, key.Value, value, owners)
	})
}

func parseTeam(d *document, name string, node *yaml.Node, owners map[string]string) (t team) {
	label := fmt.Sprintf("team %q", name)
	d.mapping(
		node, label,
		field{name: "publicKey", required: true, read: func(n *yaml.Node) { t.publicKey = d.publicKey(n) }},
		field{name: "services", required: true, read: func(n *yaml.Node) {
			d.items(n, "services of "+label, func(item *yaml.Node) {
				if !d.checkName(item, "service", reservedServiceName) {
					return
				}
				if owner, taken := owners[item.Value]; taken {
					d.addProblem(item, "service %q is listed twice; team %q already owns it", item.Value, owner)
					return
				}
				owners[item.Value] = name
				t.services = append(t.services, item.Value)
			})
		}},
	)
	return t
}

// reservedServiceName can't name a service, because the paths of the node API
// begin with it.
const reservedServiceName = "lacewingslip"

var namePattern = regexp.MustCompile(`^[a-z][a-z0-9-]{0,62}$`)

func (d *document) checkName(node *yaml.Node, label, reserved string) bool {
	text, ok := d.text(node, "name of a "+label)
	if !ok {
		return false
	}
	if !namePattern.MatchString(text) {
		d.addProblem(node, "name of a %s is %q; expected a lower-case letter, then up to 62 lower-case letters, digits or hyphens", label, text)
		return false
	}
	if text == reserved {
		d.addProblem(node, "%q is reserved and can't name a %s", text, label)
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
		d.addProblem(node, "%s", err)
	}
	return key
}

// parseBranch parses a team's branch. An empty file is a branch without services.
func parseBranch(d *document, name string, text []byte, root rootBranch) (services []Service) {
	owner, known := root.teams[name]
	if !known {
		d.addProblem(&yaml.Node{}, "no team %q in the root branch%s", name, suggest(name, teamNames(root)))
	}
	node := d.parse(text)
	if node == nil {
		return nil
	}
	d.mapping(node, "the branch of team "+name, field{name: "services", required: true, read: func(n *yaml.Node) {
		d.mappingEntries(n, "services", func(key, value *yaml.Node) {
			switch {
			case !d.checkName(key, "service", reservedServiceName):
			case known && !slices.Contains(owner.services, key.Value):
				d.addProblem(key, "service %q does not belong to team %q%s", key.Value, name, suggest(key.Value, owner.services))
			default:
				services = append(services, parseService(d, name, key.Value, value, root.defaults))
			}
		})
	}})
	return services
}

func parseService(d *document, team, name string, node *yaml.Node, inherited defaults) Service {
	label := fmt.Sprintf("service %q", name)
	s := Service{Name: name, Team: team, WarmUp: inherited.warmUp, Floor: -1, QueueLength: -1}
	var connectionsNode, floorNode *yaml.Node
	d.mapping(
		node, label,
		field{name: "slots", required: true, read: func(n *yaml.Node) { storeIfValid(&s.Slots)(d.integer(n, "slots", 1, maxSlots)) }},
		field{name: "connections", required: true, read: func(n *yaml.Node) {
			connectionsNode = n
			storeIfValid(&s.Connections)(d.integer(n, "connections", 1, maxConnections))
		}},
		field{name: "floor", read: func(n *yaml.Node) {
			floorNode = n
			storeIfValid(&s.Floor)(d.integer(n, "floor", 1, maxSlots))
		}},
		field{name: "queueLength", read: func(n *yaml.Node) { storeIfValid(&s.QueueLength)(d.integer(n, "queueLength", 0, maxQueueLength)) }},
		field{name: "warmUp", read: func(n *yaml.Node) { storeIfValid(&s.WarmUp)(d.duration(n, "warmUp", 0, maxWarmUp)) }},
		field{name: "routes", required: true, read: func(n *yaml.Node) {
			d.items(n, "routes of "+label, func(item *yaml.Node) { s.Routes = append(s.Routes, parseRoute(d, item, inherited, s.Routes)) })
		}},
	)
	if connectionsNode != nil && s.Connections > 0 && s.Connections < s.Slots {
		d.addProblem(connectionsNode, "connections is %d; expected at least slots, %d, because each running call needs one", s.Connections, s.Slots)
	}
	if floorNode != nil && s.Floor > s.Slots && s.Slots > 0 {
		d.addProblem(floorNode, "floor is %d; expected at most slots, %d", s.Floor, s.Slots)
	}
	if s.Floor < 0 {
		s.Floor = max(s.Slots/defaultFloorDivisor, 1)
	}
	if s.QueueLength < 0 {
		s.QueueLength = defaultQueueLengthPerSlot * s.Slots
	}
	return s
}

var methods = []string{
	http.MethodGet, http.MethodHead, http.MethodPost, http.MethodPut, http.MethodPatch, http.MethodDelete, http.MethodOptions,
}

func parseRoute(d *document, node *yaml.Node, inherited defaults, earlier []Route) Route {
	r := Route{Importance: call.Normal, Timeout: inherited.timeout, Retries: inherited.retries, KeyRequired: inherited.keyRequired, MaxBody: inherited.maxBody}
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
			storeIfValid(&r.Importance)(enum(d, n, "importance", call.Importances()))
		}},
		field{name: "repeat", read: func(n *yaml.Node) { storeIfValid(&r.Repeat)(enum(d, n, "repeat", call.RepeatPolicies())) }},
		field{name: "timeout", read: func(n *yaml.Node) {
			storeIfValid(&r.Timeout)(d.duration(n, "timeout", minTimeout, call.MaxTimeout))
		}},
		field{name: "retries", read: func(n *yaml.Node) { storeIfValid(&r.Retries)(d.integer(n, "retries", 0, call.MaxTokens)) }},
		field{name: "keyRequired", read: func(n *yaml.Node) {
			keyRequiredNode = n
			storeIfValid(&r.KeyRequired)(d.boolean(n, "keyRequired"))
		}},
		field{name: "maxBody", read: func(n *yaml.Node) { storeIfValid(&r.MaxBody)(d.size(n, "maxBody", 0, maxBodyLimit)) }},
	)
	if keyRequiredNode != nil && !r.Booking() {
		d.addProblem(keyRequiredNode, "keyRequired is set; expected it only on a route with repeat: never")
	}
	r.KeyRequired = r.KeyRequired && r.Booking()
	for _, other := range earlier {
		if r.Path != "" && r.Path == other.Path && overlap(r.Methods, other.Methods) {
			d.addProblem(pathNode, "path %q occurs twice for the same method", r.Path)
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
		d.addProblem(node, "path is %q; expected a decoded path that begins with / and has no empty, . or .. segment and no ?, # or %%", text)
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
			d.addProblem(item, "method is %q; expected %s%s", text, joinAlternatives(methods), suggest(text, methods))
		case slices.Contains(result, text):
			d.addProblem(item, "method %q occurs twice", text)
		default:
			result = append(result, text)
		}
	})
	if node.Kind == yaml.SequenceNode && len(node.Content) == 0 {
		d.addProblem(node, "methods is empty; expected at least one, or leave the key out for all methods")
	}
	return result
}

// overlap reports whether two lists of methods have a method in common. An empty
// list means all methods.
func overlap(a, b []string) bool {
	if len(a) == 0 || len(b) == 0 {
		return true
	}
	return slices.ContainsFunc(a, func(method string) bool { return slices.Contains(b, method) })
}

// storeIfValid returns a function that stores a value if ok is true. It takes the
// results of a document's read methods as arguments.
func storeIfValid[T any](to *T) func(value T, ok bool) {
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
