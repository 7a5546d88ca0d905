package configcheck_test

import (
	"fmt"
	"math/rand/v2"
	"strings"
	"testing"

	"github.com/shoenig/test/must"

	"github.com/lacewingslip/lacewingslip/configcheck"
	"github.com/lacewingslip/lacewingslip/platform"
)

// state returns a desired state with the resources, written as TYPE NAME SPEC.
func state(version int, resources ...string) []byte {
	var texts []string
	for _, resource := range resources {
		parts := strings.SplitN(resource, " ", 3)
		texts = append(texts, fmt.Sprintf(`{"ResourceType":%q,"Metadata":{"Name":%q},"Spec":%s}`, parts[0], parts[1], parts[2]))
	}
	return fmt.Appendf(nil, `{"Version":%d,"Resources":[%s]}`, version, strings.Join(texts, ",\n"))
}

// Guards against findings about documents that are as intended, which would teach users to
// ignore the check.
func TestNoFalseFindings(t *testing.T) {
	for name, resources := range map[string][]string{
		"longer prefix after the shorter one": {`Routes a {"Host":"h","PathPrefix":"/","Service":"s"}`, `Routes b {"Host":"h","PathPrefix":"/b/","Service":"s"}`},
		"same prefix at another host":         {`Routes a {"Host":"h","PathPrefix":"/","Service":"s"}`, `Routes b {"Host":"i","PathPrefix":"/","Service":"s"}`},
		"no time-out":                         {`Routes a {"Host":"h","PathPrefix":"/","Service":"s","TimeoutMs":0,"TargetLatencyMs":900}`},
		"weight of 0 beside another":          {`Routes a {"PathPrefix":"/","TrafficSplit":[{"Service":"s","Weight":0},{"Service":"t","Weight":1}]}`, `Services s {}`},
		"no cap":                              {`Tenants w {"ApiKeys":["k"],"Burst":0}`},
		"priority for a workspace without":    {`Routes a {"PathPrefix":"/","Service":"s","Priority":1}`, `Tenants v {"ApiKeys":["k"],"Priority":2}`, `Tenants w {"ApiKeys":["l"]}`},
		"priority of an anonymous route":      {`Routes a {"PathPrefix":"/","Service":"s","Priority":1,"AllowAnonymous":true}`, `Tenants v {"ApiKeys":["k"],"Priority":2}`},
		"names for other readers":             {`Certificates c {}`, `Services s {"Owner":"x"}`, `Routes a {"pathprefix":"/","SERVICE":"s","Comment":1}`},
		"digests for keys":                    {`Tenants w {"ApiKeyDigests":["AAAAAAAAAAAAAAAAAAAAAA=="]}`},
	} {
		t.Run(name, func(t *testing.T) {
			must.SliceEmpty(t, configcheck.Inspect("f", state(1, resources...)).Check())
		})
	}
}

// Guards against a version that the check passes and nodes reject, or the reverse.
func TestRejectsAsNodesDo(t *testing.T) {
	pieces := []string{
		`Routes a {"PathPrefix":"/","Service":"s","TimeoutMs":-1}`, `Routes a {"TrafficSplit":[{"Service":"s","Weight":-1}]}`, `Routes a {"Service":""}`,
		`Routes a {"Service":"s"}`, `Routes a {"Service":"s","TimeoutMs":1e300}`, `Routes a []`, `Tenants  {}`, `Tenants w {"ApiKeys":[7]}`, `Tenants w {"ApiKeys":["k"]}`,
		`Services s {"MaxConnections":0.5}`, `Services s {}`, `Limits l {"IdleTimeoutMs":1e300}`, `Limits l {"MaxBodyBytes":7}`, `Other o []`,
	}
	documents := [][]byte{nil, []byte(`[]`), []byte(`null`), []byte(`{"Version":1}`), []byte(`{"Resources":[]}`), []byte(`{"Version":"1","Resources":[]}`), []byte(`{"Version":1,"Resources":7}`), state(int(platform.MaxVersion) + 1), state(1), []byte("{}\n}")}
	random := rand.New(rand.NewPCG(1, 1))
	for range 300 {
		var chosen []string
		for range random.IntN(4) {
			chosen = append(chosen, pieces[random.IntN(len(pieces))])
		}
		documents = append(documents, state(1, chosen...))
	}
	for _, document := range documents {
		_, err := platform.DecodeDesiredState(document)
		d := configcheck.Inspect("f", document)
		findings := d.Check()
		must.Eq(t, err != nil, d.State == nil, must.Sprint(string(document)))
		must.Eq(t, err != nil, len(findings) > 0 && findings[0].Kind == configcheck.Rejected || len(d.Faults) > 0, must.Sprint(string(document)))
		for _, finding := range findings {
			must.Positive(t, finding.Line)
		}
	}
}

// Guards against keys in the output, which goes to logs of pipelines.
func TestFindingsShowNoKey(t *testing.T) {
	const key = "secret-7d1c"
	tenant := func(name, spec string) string {
		return "Tenants " + name + " " + strings.ReplaceAll(spec, "KEY", key)
	}
	for name, document := range map[string][]byte{
		"not a list":      state(1, tenant("a", `{"ApiKeys":"KEY"}`)),
		"an object":       state(1, tenant("a", `{"ApiKeys":[{"KEY":1}]}`)),
		"a wrong digest":  state(1, tenant("a", `{"ApiKeyDigests":["KEY"]}`)),
		"a number":        state(1, tenant("a", `{"ApiKeys":[47110815.5]}`)),
		"same key":        state(2, tenant("a", `{"ApiKeys":["KEY"]}`), tenant("b", `{"ApiKeys":["KEY","KEY"]}`)),
		"a key as a name": state(2, tenant("a", `{"ApiKeys":["x"],"KEY":1}`)),
		"syntax":          []byte(`{"Version":1,"Resources":[{"Spec":{"ApiKeys":["` + key + `"}}]}`),
	} {
		t.Run(name, func(t *testing.T) {
			d := configcheck.Inspect("f", document)
			text := fmt.Sprint(d.Check(), d.Differences(configcheck.Inspect("g", state(1))), configcheck.Inspect("g", state(3)).Differences(d))
			must.StrNotContains(t, text, key)
			must.StrNotContains(t, text, "47110815")
		})
	}
}

// Guards against a version that is published in vain, because nodes have a higher one or
// another one of the same number.
func TestOldVersion(t *testing.T) {
	inForce := configcheck.Inspect("f", state(3, `Services s {}`))
	for name, tc := range map[string]struct {
		document []byte
		old      bool
	}{
		"lower":           {state(2, `Services s {}`), true},
		"same, different": {state(3), true},
		"same":            {state(3, `Services s {}`), false},
		"higher":          {state(4), false},
	} {
		t.Run(name, func(t *testing.T) {
			findings := configcheck.Inspect("f", tc.document).Differences(inForce)
			must.Eq(t, tc.old, len(findings) > 0 && findings[0].Kind == configcheck.OldVersion)
		})
	}
}

// Guards against differences where a document is only written in another way, and against a
// change that is not reported.
func TestDifferencesByMeaning(t *testing.T) {
	route, service, workspace := `Routes a {"Host":"h","PathPrefix":"/","Service":"s"}`, `Services s {}`, `Tenants w {"ApiKeys":["k","l"],"RatePerS":5,"Burst":5}`
	before := configcheck.Inspect("before", state(1, route, service, workspace))
	for name, tc := range map[string]struct {
		resources []string
		want      string // part of the only difference, or empty for none
	}{
		"other order":     {[]string{workspace, service, route}, ""},
		"other writing":   {[]string{`Routes a {"Host":"H:80","PathPrefix":"/","TrafficSplit":[{"Service":"s","Weight":3}]}`, service, `Tenants w {"ApiKeys":["l","k"],"RatePerS":5.0,"Burst":5,"Priority":null}`}, ""},
		"hidden route":    {[]string{route, `Routes b {"Host":"h","PathPrefix":"/","Service":"s"}`, service, workspace}, ""},
		"time-out":        {[]string{`Routes a {"Host":"h","PathPrefix":"/","Service":"s","TimeoutMs":5}`, service, workspace}, "time-out 5ms, was 0s"},
		"anonymous":       {[]string{`Routes a {"Host":"h","PathPrefix":"/","Service":"s","AllowAnonymous":true}`, service, workspace}, "requests need no key"},
		"removed service": {[]string{route, workspace}, `service "s" is removed`},
		"removed key":     {[]string{route, service, `Tenants w {"ApiKeys":["k"],"RatePerS":5,"Burst":5}`}, "requests with it get 401"},
		"cap":             {[]string{route, service, `Tenants w {"ApiKeys":["k","l"],"RatePerS":6,"Burst":5}`}, "cap 6 requests/s"},
		"priority":        {[]string{route, service, `Tenants w {"ApiKeys":["k","l"],"RatePerS":5,"Burst":5,"Priority":0}`}, "priority 0, was of the route"},
		"limits":          {[]string{route, service, workspace, `Limits l {"IdleTimeoutMs":5}`}, "idle time-out 5ms"},
	} {
		t.Run(name, func(t *testing.T) {
			findings := configcheck.Inspect("after", state(2, tc.resources...)).Differences(before)
			if tc.want == "" {
				must.SliceEmpty(t, findings)
				return
			}
			must.SliceLen(t, 1, findings)
			must.StrContains(t, findings[0].Message, tc.want)
		})
	}
}

// The cost must not grow with the square of the number of workspaces.
func BenchmarkCheckAndDifferences(b *testing.B) {
	for _, workspaces := range []int{500, 5000} {
		b.Run(fmt.Sprint(workspaces), func(b *testing.B) {
			var resources []string
			for n := range workspaces {
				var keys []string
				for k := range 10 {
					keys = append(keys, fmt.Sprintf(`"key-%d-%d"`, n, k))
				}
				resources = append(resources, fmt.Sprintf(`Tenants w%d {"ApiKeys":[%s],"RatePerS":5,"Burst":5}`, n, strings.Join(keys, ",")))
			}
			before, after := state(1, resources...), state(2, resources[1:]...)
			for b.Loop() {
				d := configcheck.Inspect("after", after)
				if len(d.Check()) > 0 || len(d.Differences(configcheck.Inspect("before", before))) == 0 {
					b.Fatal("unexpected findings")
				}
			}
		})
	}
}
