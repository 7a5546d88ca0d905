// Package keyedlog is a stand-in for the log service of the users' platform. It has the
// features that nodes use: keyed topics with one partition, long polling and fenced
// appends. It can also inject faults.
//
// # Usage
//
//	log := keyedlog.New()
//	server := httptest.NewServer(log)
//	log.Put("keyed.op", "config", document)
//	log.SetFaults(keyedlog.Faults{Down: true})
//	saved := log.Copy()
//	log.Restore(saved)
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

// Faults are the faults that a Log can show.
type Faults struct {
	// Down rejects all requests with status 503.
	Down bool
	// LoseAnswers carries out appends, but closes the connection without a response.
	LoseAnswers bool
	// Disconnect closes the connection of each request, which is not carried out.
	Disconnect bool
	// Silent keeps each new request without a response until its client disconnects. It is
	// not carried out.
	Silent bool
	// RefuseFrom rejects requests with status 503 if it returns true for their remote
	// address.
	RefuseFrom func(remote string) bool
}

// eraHeader is the response header with the era.
const eraHeader = "Store-Era"

type record struct {
	key   string
	value []byte
}

type topic struct {
	records []record
	// firstKept is the offset of the first record that has not been trimmed.
	firstKept int
	// producerEpochs has the latest epoch of each producer. An append with an older
	// epoch is rejected, and one with the latest epoch is a repeat that adds no record.
	producerEpochs map[string]int64
}

// Log is a log service in memory. It is safe for concurrent use.
type Log struct {
	mu      sync.Mutex
	topics  map[string]*topic
	faults  Faults
	changed chan struct{}
	calls   map[string]int
	// reads counts the reads of each topic, and deliveries those that returned records.
	reads, deliveries map[string]int
	// waitingReads is the number of reads that wait for a record.
	waitingReads int
	// era counts the restores. All responses state it.
	era int
	// restored is closed at the next restore, which disconnects waiting reads.
	restored chan struct{}
}

// New returns an empty log.
func New() *Log {
	return &Log{
		topics: make(map[string]*topic), changed: make(chan struct{}), calls: make(map[string]int), reads: make(map[string]int), deliveries: make(map[string]int),
		era: 1, restored: make(chan struct{}),
	}
}

// SetFaults replaces the faults.
func (l *Log) SetFaults(f Faults) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.faults = f
	l.notifyReaders()
}

// Put appends a record without the fencing of producers, as the operator does.
func (l *Log) Put(name, key string, value []byte) {
	l.mu.Lock()
	defer l.mu.Unlock()
	t := l.topic(name)
	t.records = append(t.records, record{key: key, value: value})
	l.notifyReaders()
}

// Trim makes all records of a topic unavailable for sequential reads. The newest record
// of each key can still be read.
func (l *Log) Trim(name string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	t := l.topic(name)
	t.firstKept = len(t.records)
}

// Calls returns the number of requests for a path.
func (l *Log) Calls(path string) int {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.calls[path]
}

// Reads returns the number of requests that read a topic from an offset.
func (l *Log) Reads(topic string) int {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.reads[topic]
}

// Deliveries returns the number of reads of a topic that returned records.
func (l *Log) Deliveries(topic string) int {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.deliveries[topic]
}

// WaitingReads returns the number of reads that wait for a record. A restore ends or keeps
// exactly these.
func (l *Log) WaitingReads() int {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.waitingReads
}

func (l *Log) endWait() {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.waitingReads--
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
		t = &topic{producerEpochs: make(map[string]int64)}
		l.topics[name] = t
	}
	return t
}

func (l *Log) notifyReaders() {
	close(l.changed)
	l.changed = make(chan struct{})
}

// ServeHTTP serves the API of the log service.
func (l *Log) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	l.mu.Lock()
	l.calls[r.URL.Path]++
	w.Header().Set(eraHeader, strconv.Itoa(l.era))
	refused := l.faults.Down || l.faults.RefuseFrom != nil && l.faults.RefuseFrom(r.RemoteAddr)
	disconnect, silent := l.faults.Disconnect, l.faults.Silent
	l.mu.Unlock()
	if silent {
		// The server notices that the client disconnects only once the body has been read.
		_, _ = io.Copy(io.Discard, r.Body)
		<-r.Context().Done()
		panic(http.ErrAbortHandler)
	}
	if disconnect {
		panic(http.ErrAbortHandler)
	}
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
	w.Header().Set(eraHeader, strconv.Itoa(l.era))
	t := l.topic(query.Get("Topic"))
	producer := query.Get("Producer")
	if epoch < t.producerEpochs[producer] {
		w.WriteHeader(http.StatusConflict)
		return
	}
	if epoch > t.producerEpochs[producer] {
		t.producerEpochs[producer] = epoch
		size := int(body[4])
		t.records = append(t.records, record{key: string(body[5 : 5+size]), value: body[5+size:]})
		l.notifyReaders()
	}
	if l.faults.LoseAnswers {
		panic(http.ErrAbortHandler)
	}
	writeJSON(w, map[string]int{"Offset": len(t.records) - 1, "End": len(t.records)})
}

func (l *Log) read(w http.ResponseWriter, r *http.Request) {
	query := r.URL.Query()
	from, errFrom := strconv.Atoi(query.Get("From"))
	wait, errWait := strconv.Atoi(query.Get("WaitMs"))
	if errFrom != nil || errWait != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	l.mu.Lock()
	l.reads[query.Get("Topic")]++
	l.mu.Unlock()
	timeout := time.After(time.Duration(wait) * time.Millisecond)
	for waiting := false; ; waiting = true {
		l.mu.Lock()
		t, changed, restored := l.topic(query.Get("Topic")), l.changed, l.restored
		w.Header().Set(eraHeader, strconv.Itoa(l.era))
		end, down, disconnect := len(t.records), l.faults.Down, l.faults.Disconnect
		// A read that waits when the log is restored may be beyond its new end.
		missing := from < t.firstKept || from > end && !waiting
		records := encodeRecords(t, from)
		if !disconnect && !down && !missing && end > from {
			l.deliveries[query.Get("Topic")]++
		}
		if !disconnect && !down && !missing && end <= from {
			l.waitingReads++
		}
		l.mu.Unlock()
		switch {
		case disconnect:
			panic(http.ErrAbortHandler)
		case down:
			w.WriteHeader(http.StatusServiceUnavailable)
			return
		case missing:
			w.WriteHeader(http.StatusGone)
			return
		case end > from:
			// Errors are ignored: a client that misses the response reads again.
			_, _ = w.Write(records)
			return
		}
		select {
		case <-changed:
			l.endWait()
			// A restore closes both channels.
			select {
			case <-restored:
				panic(http.ErrAbortHandler)
			default:
			}
		case <-timeout:
			l.endWait()
			_, _ = w.Write(records)
			return
		case <-r.Context().Done():
			l.endWait()
			return
		}
	}
}

// encodeRecords encodes the end offset, the first available offset, and the records from
// an offset on.
func encodeRecords(t *topic, from int) (data []byte) {
	data = binary.BigEndian.AppendUint64(data, uint64(len(t.records)))
	data = binary.BigEndian.AppendUint64(data, uint64(t.firstKept))
	for n := max(from, t.firstKept); n < len(t.records); n++ {
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
	w.Header().Set(eraHeader, strconv.Itoa(l.era))
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
	// Errors are ignored: a client that misses the response sends the request again.
	_ = json.NewEncoder(w).Encode(value)
}
