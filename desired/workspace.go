package desired

import "crypto/sha256"

// KeyDigest is a digest of a key. Nodes keep and exchange digests in place of keys.
type KeyDigest [16]byte

// DigestOf returns the digest of a key: the first half of its SHA-256 sum.
func DigestOf(key string) KeyDigest {
	sum := sha256.Sum256([]byte(key))
	return KeyDigest(sum[:len(KeyDigest{})])
}

// Workspace is a customer's account: the keys of its callers, and how much they may ask for.
type Workspace struct {
	name        string
	keys        []KeyDigest
	priority    int
	hasPriority bool
	rate, burst float64
}

// WorkspaceOption configures a new workspace.
type WorkspaceOption func(*Workspace)

// WithKeys adds keys that callers of the workspace send. Empty ones are ignored.
func WithKeys(keys ...string) WorkspaceOption {
	return func(w *Workspace) {
		for _, key := range keys {
			if key != "" {
				w.keys = append(w.keys, DigestOf(key))
			}
		}
	}
}

// WithKeyDigests adds the keys with the digests.
func WithKeyDigests(digests ...KeyDigest) WorkspaceOption {
	return func(w *Workspace) { w.keys = append(w.keys, digests...) }
}

// WithWorkspacePriority sets the priority that takes precedence over the priority of the
// route. 0 is the highest.
func WithWorkspacePriority(priority int) WorkspaceOption {
	return func(w *Workspace) { w.priority, w.hasPriority = priority, true }
}

// WithCap limits the requests of the workspace over all nodes: a rate in requests per second
// and the number of requests above it that may arrive at once. A rate of 0 or less means no
// limit.
func WithCap(rate, burst float64) WorkspaceOption {
	return func(w *Workspace) { w.rate, w.burst = max(rate, 0), max(burst, 0) }
}

// NewWorkspace returns a workspace with the name.
func NewWorkspace(name string, opts ...WorkspaceOption) *Workspace {
	w := &Workspace{name: name}
	for _, opt := range opts {
		opt(w)
	}
	return w
}

// Name returns the name that the operator has given to the workspace.
func (w *Workspace) Name() string { return w.name }

// Keys returns the digests of the keys that the operator has given to the workspace.
func (w *Workspace) Keys() []KeyDigest { return w.keys }

// Priority returns the priority of the workspace's requests. ok is false if the priority of
// the route applies.
func (w *Workspace) Priority() (priority int, ok bool) { return w.priority, w.hasPriority }

// Rate returns the cap in requests per second over all nodes, or 0 for no limit.
func (w *Workspace) Rate() float64 { return w.rate }

// Burst returns how many requests above the rate may arrive at once.
func (w *Workspace) Burst() float64 { return w.burst }

// meanRate returns the mean cap of the workspaces that have one, or 0 if none has.
func meanRate(workspaces []*Workspace) float64 {
	sum, capped := 0.0, 0
	for _, w := range workspaces {
		if w.rate > 0 {
			sum += w.rate
			capped++
		}
	}
	return sum / float64(max(capped, 1))
}

// WeightOf returns the weight of a workspace when capacity is divided: its cap relative to the
// mean cap, or 1 if it has none.
func (s *State) WeightOf(w *Workspace) float64 {
	if w.rate <= 0 {
		return 1
	}
	return w.rate / s.meanRate
}

// WithWorkspaces sets the workspaces of a desired state. Of two workspaces with the same key,
// the first one has it.
func WithWorkspaces(workspaces ...*Workspace) StateOption {
	return func(s *State) {
		s.workspaces = workspaces
		s.meanRate = meanRate(workspaces)
		s.byKey = make(map[KeyDigest]*Workspace, len(workspaces))
		for _, w := range workspaces {
			for _, key := range w.keys {
				if _, taken := s.byKey[key]; !taken {
					s.byKey[key] = w
				}
			}
		}
	}
}

// HasWorkspaces reports whether requests need a key, except on anonymous routes.
func (s *State) HasWorkspaces() bool { return len(s.workspaces) > 0 }

// Workspaces returns all workspaces.
func (s *State) Workspaces() []*Workspace { return s.workspaces }

// WorkspaceOf returns the workspace that has the key.
func (s *State) WorkspaceOf(key string) (w *Workspace, ok bool) {
	if len(s.byKey) == 0 || key == "" {
		return nil, false
	}
	w, ok = s.byKey[DigestOf(key)]
	return w, ok
}
