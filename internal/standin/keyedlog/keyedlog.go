// Package keyedlog is a stand-in for the log of the users' platform, with what
// the product uses of it: keyed topics with one partition, long polls, fenced
// appends, and its troubles.
//
// # Usage
//
//	log := keyedlog.New()
//	server := httptest.NewServer(log)
//	log.Put("keyed.op", "config", document)
//	log.Set(keyedlog.Troubles{Down: true})
package keyedlog

import (
	"encoding/binary"
	"encoding/json"
	"io"
	"net/http"
	"strconv"
	"sync"
	"time"
)

// Troubles are what goes wrong at the log.
type Troubles struct {
	// Down refuses all calls with 503.
	Down bool
	// LoseAnswers carries appends out and does not answer them.
	LoseAnswers bool
	// Refused turns the callers away for which it is true.
	Refused func(remote string) bool
}

type record struct {
	key   string
	value []byte
}

type topic struct {
	records []record
	// first is the offset of the first record that is still kept.
	first  int
	epochs map[string]int64
}

// Log is the stand-in. It is safe for concurrent use.
type Log struct {
	mu       sync.Mutex
	topics   map[string]*topic
	troubles Troubles
	changed  chan struct{}
	calls    map[string]int
}

// New returns an empty log.
func New() *Log {
	return &Log{topics: make(map[string]*topic), changed: make(chan struct{}), calls: make(map[string]int)}
}

// Set replaces the troubles.
func (l *Log) Set(t Troubles) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.troubles = t
	l.wake()
}

// Put appends a record as the operator does.
func (l *Log) Put(name, key string, value []byte) {
	l.mu.Lock()
	defer l.mu.Unlock()
	t := l.topic(name)
	t.records = append(t.records, record{key: key, value: value})
	l.wake()
}

// Trim forgets the records of a topic; the newest of each key stays readable.
func (l *Log) Trim(name string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	t := l.topic(name)
	t.first = len(t.records)
}

// Calls returns how often a path was called.
func (l *Log) Calls(path string) int {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.calls[path]
}

// Newest returns the newest value of a key.
func (l *Log) Newest(name, key string) (value []byte) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for _, r := range l.topic(name).records {
		if r.key == key {
			value = r.value
		}
	}
	return value
}

func (l *Log) topic(name string) *topic {
	t := l.topics[name]
	if t == nil {
		t = &topic{epochs: make(map[string]int64)}
		l.topics[name] = t
	}
	return t
}

func (l *Log) wake() {
	close(l.changed)
	l.changed = make(chan struct{})
}

// ServeHTTP answers the calls of the log.
func (l *Log) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	l.mu.Lock()
	l.calls[r.URL.Path]++
	refused := l.troubles.Down || l.troubles.Refused != nil && l.troubles.Refused(r.RemoteAddr)
	l.mu.Unlock()
	if refused {
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	switch r.URL.Path {
	case "/lacewingslip/log-append":
		l.append(w, r)
	case "/lacewingslip/log-read":
		l.read(w, r)
	case "/lacewingslip/log-newest":
		l.newest(w, r)
	default:
		w.WriteHeader(http.StatusNotFound)
	}
}

func (l *Log) append(w http.ResponseWriter, r *http.Request) {
	body, err := io.ReadAll(r.Body)
	if err != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	query := r.URL.Query()
	epoch, err := strconv.ParseInt(query.Get("epoch"), 10, 64)
	if err != nil || len(body) < 5 {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	t := l.topic(query.Get("Topic"))
	producer := query.Get("Producer")
	if epoch < t.epochs[producer] {
		w.WriteHeader(http.StatusConflict)
		return
	}
	if epoch > t.epochs[producer] {
		t.epochs[producer] = epoch
		size := int(body[4])
		t.records = append(t.records, record{key: string(body[5 : 5+size]), value: body[5+size:]})
		l.wake()
	}
	if l.troubles.LoseAnswers {
		panic(http.ErrAbortHandler)
	}
	writeJSON(w, map[string]int{"Offset": len(t.records) - 1, "End": len(t.records)})
}

func (l *Log) read(w http.ResponseWriter, r *http.Request) {
	query := r.URL.Query()
	from, err1 := strconv.Atoi(query.Get("From"))
	wait, err2 := strconv.Atoi(query.Get("WaitMs"))
	if err1 != nil || err2 != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	timeout := time.After(time.Duration(wait) * time.Millisecond)
	for {
		l.mu.Lock()
		t, changed := l.topic(query.Get("Topic")), l.changed
		end, down := len(t.records), l.troubles.Down
		gone := from < t.first
		records := encode(t, from)
		l.mu.Unlock()
		switch {
		case down:
			w.WriteHeader(http.StatusServiceUnavailable)
			return
		case gone:
			w.WriteHeader(http.StatusGone)
			return
		case end > from:
			// The caller reads again if it misses the answer.
			_, _ = w.Write(records)
			return
		}
		select {
		case <-changed:
		case <-timeout:
			_, _ = w.Write(records)
			return
		case <-r.Context().Done():
			return
		}
	}
}

// encode writes the end, the first offset, and the records from an offset on.
func encode(t *topic, from int) (data []byte) {
	data = binary.BigEndian.AppendUint64(data, uint64(len(t.records)))
	data = binary.BigEndian.AppendUint64(data, uint64(t.first))
	for n := max(from, t.first); n < len(t.records); n++ {
		r := t.records[n]
		data = binary.BigEndian.AppendUint32(data, uint32(1+len(r.key)+len(r.value)))
		data = append(data, byte(len(r.key)))
		data = append(append(data, r.key...), r.value...)
	}
	return data
}

type item struct {
	Key    string `json:"Key"`
	Value  []byte `json:"Value"`
	Offset int    `json:"Offset"`
}

func (l *Log) newest(w http.ResponseWriter, r *http.Request) {
	l.mu.Lock()
	defer l.mu.Unlock()
	t := l.topic(r.URL.Query().Get("Topic"))
	latest := make(map[string]int)
	for n, r := range t.records {
		latest[r.key] = n
	}
	items := []item{}
	for n, r := range t.records {
		if latest[r.key] == n && len(r.value) > 0 {
			items = append(items, item{Key: r.key, Value: r.value, Offset: n})
		}
	}
	writeJSON(w, map[string]any{"items": items, "HasMore": false, "End": len(t.records)})
}

func writeJSON(w http.ResponseWriter, value any) {
	w.Header().Set("Content-Type", "application/json")
	// The caller asks again if it misses the answer.
	_ = json.NewEncoder(w).Encode(value)
}
