package settings

import (
	"encoding/json"
	"net/http"
	"os"
	"path/filepath"
	"strconv"
	"strings"
	"testing"
	"time"

	"github.com/shoenig/test"
	"github.com/shoenig/test/must"

	"github.com/lacewingslip/lacewingslip/call"
)

const testKey = "AAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAA="

func testRoot(extra string) File {
	return File{Name: "root.yaml", Text: []byte("teams:\n  orders:\n    publicKey: " + testKey + "\n    services: [orders, stock]\n" + extra)}
}

func testBranch(service string) File {
	return File{Name: "orders.yaml", Text: []byte("services:\n  orders: " + service)}
}

// Guards against accepting invalid or ambiguous settings, and against error messages
// that don't identify the position and the expected value.
func TestParseProblems(t *testing.T) {
	for name, c := range map[string]struct {
		root, branch File
		problem      string
	}{
		"unknown key":         {testRoot(""), testBranch("{slot: 1, connections: 1, routes: []}"), `orders.yaml:2:12: unknown key "slot" in service "orders"; expected slots, connections, floor, queueLength, warmUp or routes; did you mean "slots"?`},
		"missing key":         {testRoot(""), testBranch("{slots: 1, routes: []}"), `orders.yaml:2:11: service "orders" lacks the key "connections"`},
		"duplicate key":       {testRoot(""), testBranch("{slots: 1, slots: 2, connections: 2, routes: []}"), `orders.yaml:2:22: key "slots" occurs twice in service "orders"`},
		"number with unit":    {testRoot(""), testBranch("{slots: 5s, connections: 9, routes: []}"), `orders.yaml:2:19: slots is "5s"; expected a whole number from 1 to 10000, without a unit`},
		"quoted number":       {testRoot(""), testBranch(`{slots: "5", connections: 9, routes: []}`), `orders.yaml:2:19: slots is "5"; expected a whole number from 1 to 10000, without a unit`},
		"duration, no unit":   {testRoot("defaults: {timeout: 2}"), testBranch("{slots: 1, connections: 1, routes: []}"), `root.yaml:5:21: timeout is "2"; expected a duration from 1ms to 10m with unit ms, s, m or h, such as 500ms or 2s`},
		"duration, wrong":     {testRoot("defaults: {timeout: 1h}"), testBranch("{slots: 1, connections: 1, routes: []}"), `root.yaml:5:21: timeout is "1h"; expected a duration from 1ms to 10m with unit ms, s, m or h, such as 500ms or 2s`},
		"size unit":           {testRoot("defaults: {maxBody: 1MB}"), testBranch("{slots: 1, connections: 1, routes: []}"), `root.yaml:5:21: maxBody is "1MB"; expected a size from 0B to 64MiB with unit B, KiB or MiB, such as 64KiB`},
		"out of range":        {testRoot("defaults: {retries: 11}"), testBranch("{slots: 1, connections: 1, routes: []}"), `root.yaml:5:21: retries is "11"; expected a whole number from 0 to 10, without a unit`},
		"few connections":     {testRoot(""), testBranch("{slots: 5, connections: 2, routes: []}"), `orders.yaml:2:35: connections is 2; expected at least slots, 5, because each running call needs one`},
		"high floor":          {testRoot(""), testBranch("{slots: 5, connections: 5, floor: 6, routes: []}"), `orders.yaml:2:45: floor is 6; expected at most slots, 5`},
		"importance":          {testRoot(""), testBranch("{slots: 1, connections: 1, routes: [{path: /, importance: hgih}]}"), `orders.yaml:2:69: importance is "hgih"; expected low, normal, high or critical; did you mean "high"?`},
		"method":              {testRoot(""), testBranch("{slots: 1, connections: 1, routes: [{path: /, methods: [post]}]}"), `orders.yaml:2:67: method is "post"; expected GET, HEAD, POST, PUT, PATCH, DELETE or OPTIONS; did you mean "POST"?`},
		"path":                {testRoot(""), testBranch("{slots: 1, connections: 1, routes: [{path: /a/../b}]}"), `orders.yaml:2:54: path is "/a/../b"; expected a decoded path that begins with / and has no empty, . or .. segment and no ?, # or %`},
		"path twice":          {testRoot(""), testBranch("{slots: 1, connections: 1, routes: [{path: /a, methods: [GET]}, {path: /a}]}"), `orders.yaml:2:82: path "/a" occurs twice for the same method`},
		"key without booking": {testRoot(""), testBranch("{slots: 1, connections: 1, routes: [{path: /, keyRequired: true}]}"), `orders.yaml:2:70: keyRequired is set; expected it only on a route with repeat: never`},
		"foreign service":     {testRoot(""), File{"orders.yaml", []byte("services:\n  order: {slots: 1, connections: 1, routes: []}")}, `orders.yaml:2:3: service "order" does not belong to team "orders"; did you mean "orders"?`},
		"foreign branch":      {testRoot(""), File{"order.yaml", nil}, `order.yaml:1:1: no team "order" in the root branch; did you mean "orders"?`},
		"duplicate service":   {testRoot("  b: {publicKey: " + testKey + ", services: [orders]}"), File{"b.yaml", nil}, `root.yaml:5:75: service "orders" is listed twice; team "orders" already owns it`},
		"reserved service":    {testRoot("  b: {publicKey: " + testKey + ", services: [lacewingslip]}"), File{"b.yaml", nil}, `root.yaml:5:75: "lacewingslip" is reserved and can't name a service`},
		"reserved team":       {testRoot("  root: {publicKey: " + testKey + ", services: []}"), File{"orders.yaml", nil}, `root.yaml:5:3: "root" is reserved and can't name a team`},
		"public key":          {testRoot("  b: {publicKey: x, services: []}"), File{"b.yaml", nil}, `root.yaml:5:18: public key "x" is not 32 bytes in base64; lacewingslip settings keygen prints one`},
		"empty root":          {File{Name: "root.yaml"}, File{"orders.yaml", nil}, `root.yaml:1:1: file is empty; expected the key "teams"`},
		"anchor":              {testRoot(""), testBranch("&a {slots: 1, connections: 1, routes: []}"), `orders.yaml:2:11: service "orders" uses a YAML anchor or alias; write the value out`},
		"tag":                 {testRoot(""), testBranch("{slots: !!int 1, connections: 1, routes: []}"), `orders.yaml:2:19: slots has the YAML tag "!!int"; expected none`},
		"syntax":              {testRoot(""), File{"orders.yaml", []byte("services:\n  orders: {")}, `orders.yaml:2:1: not valid YAML: did not find expected node content`},
		"two documents":       {testRoot(""), File{"orders.yaml", []byte("services: {}\n---\nservices: {}")}, `orders.yaml:2:1: second YAML document; expected one document per file`},
		"long file":           {testRoot(""), File{"orders.yaml", []byte(strings.Repeat("#", maxBranchBytes+1))}, `orders.yaml:1:1: file has 65537 bytes; expected at most 65536`},
	} {
		t.Run(name, func(t *testing.T) {
			_, err := Parse(c.root, c.branch)
			must.Error(t, err)
			lines := strings.Split(err.Error(), "\n")
			test.SliceContains(t, lines, c.problem)
		})
	}
}

// Guards against examples that no longer pass validation, or that no longer have the
// users' slots, connections and timeouts.
func TestExamples(t *testing.T) {
	for name, c := range map[string]struct{ directory, service, method, path, route string }{
		"booking": {"tesfaye", "orders", http.MethodPost, "/book", "50 400 critical never 5s"},
		"stock":   {"tesfaye", "catalogue", http.MethodGet, "/stock/tray-30", "50 400 high always 1s"},
		"drawing": {"tesfaye", "drawings", http.MethodGet, "/moulds/7", "50 400 normal always 10s"},
		"load":    {"tesfaye", "dispatch", http.MethodPost, "/loads", "10 170 critical never 5s"},
		"status":  {"association", "status-desk", http.MethodGet, "/permits/9", "90 650 high always 1s"},
		"rule":    {"association", "rulebook", http.MethodGet, "/", "15 190 normal always 1s"},
		"filing":  {"association", "renewals", http.MethodPost, "/file", "90 650 critical never 5s"},
		"plan":    {"association", "plans", http.MethodHead, "/archive/1", "90 650 low always 10s"},
	} {
		t.Run(name, func(t *testing.T) {
			root, branches, err := ReadDirectory(filepath.Join("..", "examples", c.directory))
			must.NoError(t, err)
			tree, err := Parse(root, branches...)
			must.NoError(t, err)
			s, ok := tree.Service(c.service)
			must.True(t, ok)
			r, ok := s.Route(c.method, c.path)
			must.True(t, ok)
			test.Eq(t, c.route, strings.Join([]string{strconv.Itoa(s.Slots), strconv.Itoa(s.Connections), r.Importance.String(), r.Repeat.String(), r.Timeout.String()}, " "))
			test.Len(t, 4, tree.Services())
			test.Eq(t, 10*time.Minute, tree.KeyValidity())
		})
	}
}

// Guards against an operator endpoint that returns an empty tree.
func TestTreeJSON(t *testing.T) {
	tree, err := Parse(testRoot(""), testBranch("{slots: 20, connections: 20, routes: [{path: /book, methods: [POST], repeat: never}]}"))
	must.NoError(t, err)
	data, err := json.Marshal(tree)
	must.NoError(t, err)
	must.Eq(t, `{"keyValidity":"10m","callerKeyValidity":"1h","services":[{"name":"orders","team":"orders","slots":20,"connections":20,"floor":2,"queueLength":40,"warmUp":"10s",`+
		`"routes":[{"path":"/book","methods":["POST"],"importance":"normal","repeat":"never","timeout":"2s","retries":3,"keyRequired":true,"maxBodyBytes":1048576}]}]}`, string(data))
}

// Guards against a booking that is handled as a lookup because of a non-canonical
// path, and against a wrong precedence of routes.
func TestRoute(t *testing.T) {
	s := Service{Routes: []Route{
		{Path: "/", Repeat: call.Always},
		{Path: "/book", Methods: []string{http.MethodPost}, Repeat: call.Never},
		{Path: "/book/", Importance: call.High},
		{Path: "/book/now", Importance: call.Critical},
	}}
	for name, c := range map[string]struct{ method, path, route string }{
		"exact":           {http.MethodPost, "/book", "/book"},
		"other method":    {http.MethodGet, "/book", "/"},
		"prefix":          {http.MethodPost, "/book/x", "/book/"},
		"longest":         {http.MethodPost, "/book/now", "/book/now"},
		"catch-all":       {http.MethodGet, "/x/", "/"},
		"root":            {http.MethodGet, "/", "/"},
		"dot segment":     {http.MethodPost, "/./book", ""},
		"dot-dot segment": {http.MethodPost, "/x/../book", ""},
		"empty segment":   {http.MethodPost, "//book", ""},
		"double slash":    {http.MethodPost, "/book//", ""},
		"no slash":        {http.MethodPost, "book", ""},
		"empty":           {http.MethodPost, "", ""},
	} {
		t.Run(name, func(t *testing.T) {
			r, ok := s.Route(c.method, c.path)
			test.Eq(t, c.route != "", ok)
			test.Eq(t, c.route, r.Path)
		})
	}
}

// Guards against a panic on any input, and against validation whose result depends
// on anything but the input.
func FuzzParse(f *testing.F) {
	for _, name := range []string{"tesfaye/orders.yaml", "association/root.yaml", "tesfaye/root.yaml"} {
		text, err := os.ReadFile(filepath.Join("..", "examples", name))
		must.NoError(f, err)
		f.Add(text, text)
	}
	f.Add([]byte("teams: {a: &x [*x]}"), []byte("services: {<<: *a}"))
	f.Add([]byte("- ? {a: b}\n  : c"), []byte("services:\n? [a]\n: b"))
	f.Fuzz(func(t *testing.T, root, branch []byte) {
		files := []File{{Name: "orders.yaml", Text: branch}, {Name: "lookups.yaml", Text: branch}}
		first, err1 := Parse(File{Name: "root.yaml", Text: root}, files...)
		second, err2 := Parse(File{Name: "root.yaml", Text: root}, files...)
		must.Eq(t, err1 == nil, err2 == nil)
		if err1 != nil {
			must.EqError(t, err1, err2.Error())
			return
		}
		must.Eq(t, first.Services(), second.Services())
	})
}
