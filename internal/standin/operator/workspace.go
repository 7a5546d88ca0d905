package operator

import (
	"bytes"
	"fmt"
	"net/http"
)

// Workspace is a workspace of a desired state with one key and a cap.
type Workspace struct {
	Name, Key   string
	Rate, Burst float64
}

// AddWorkspaces returns a document of a desired state with further workspaces.
func AddWorkspaces(document []byte, workspaces ...Workspace) (text []byte) {
	text = bytes.TrimSuffix(document, []byte("]}"))
	for _, w := range workspaces {
		text = fmt.Appendf(text, `,{"ResourceType":"Tenants","Metadata":{"Name":%q},"Spec":{"ApiKeys":[%q],"RatePerS":%g,"Burst":%g}}`,
			w.Name, w.Key, w.Rate, w.Burst)
	}
	return append(text, "]}"...)
}

// SetKey sets the key of the caller of a request.
func SetKey(r *http.Request, key string) { r.Header.Set("X-Key", key) }
