package logservice

import (
	"encoding/json"
	"errors"
	"io"
	"net/http"
	"strconv"
	"time"

	"github.com/gorilla/mux"
)

const (
	maxRecordBytes = 4 << 20
	maxPageRecords = 1000
	maxWait        = time.Minute
)

type recordBody struct {
	Offset int64  `json:"offset"`
	Data   []byte `json:"data"`
}

type pageBody struct {
	Records []recordBody `json:"records"`
	Oldest  int64        `json:"oldest"`
	Next    int64        `json:"next"`
}

type faultsBody struct {
	Down        bool  `json:"down"`
	DelayMs     int64 `json:"delayMs"`
	LoseAnswers int   `json:"loseAnswers"`
}

// ServeHTTP serves the API of the log service and PUT /faults, which sets the faults.
func (s *Service) ServeHTTP(w http.ResponseWriter, r *http.Request) { s.router.ServeHTTP(w, r) }

func (s *Service) newRouter() http.Handler {
	router := mux.NewRouter()
	router.HandleFunc("/streams/{stream}/records", s.serveAppend).Methods(http.MethodPost)
	router.HandleFunc("/streams/{stream}/records", s.serveRead).Methods(http.MethodGet)
	router.HandleFunc("/faults", s.serveFaults).Methods(http.MethodPut)
	return router
}

func (s *Service) serveAppend(w http.ResponseWriter, r *http.Request) {
	data, err := io.ReadAll(http.MaxBytesReader(w, r.Body, maxRecordBytes))
	if err != nil {
		http.Error(w, err.Error(), http.StatusRequestEntityTooLarge)
		return
	}
	offset, err := s.Append(r.Context(), mux.Vars(r)["stream"], data)
	if err != nil {
		abort()
	}
	writeJSON(w, map[string]int64{"offset": offset})
}

func (s *Service) serveRead(w http.ResponseWriter, r *http.Request) {
	from, errFrom := strconv.ParseInt(r.FormValue("from"), 10, 64)
	limit, errLimit := strconv.Atoi(r.FormValue("limit"))
	waitMs, errWait := strconv.ParseInt(r.FormValue("waitMs"), 10, 64)
	if err := errors.Join(errFrom, errLimit, errWait); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	wait := min(time.Duration(waitMs)*time.Millisecond, maxWait)
	page, err := s.Read(r.Context(), mux.Vars(r)["stream"], from, min(limit, maxPageRecords), wait)
	if err != nil {
		abort()
	}
	body := pageBody{Records: []recordBody{}, Oldest: page.Oldest, Next: page.Next}
	for _, record := range page.Records {
		body.Records = append(body.Records, recordBody(record))
	}
	writeJSON(w, body)
}

func (s *Service) serveFaults(w http.ResponseWriter, r *http.Request) {
	var body faultsBody
	if err := json.NewDecoder(http.MaxBytesReader(w, r.Body, 1<<10)).Decode(&body); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	s.SetFaults(Faults{Down: body.Down, Delay: time.Duration(body.DelayMs) * time.Millisecond, LoseAnswers: body.LoseAnswers})
	w.WriteHeader(http.StatusNoContent)
}

// abort closes the connection without a response, as a failed service does.
func abort() { panic(http.ErrAbortHandler) }

func writeJSON(w http.ResponseWriter, body any) {
	w.Header().Set("Content-Type", "application/json")
	// Errors are ignored: the client detects a truncated body.
	_ = json.NewEncoder(w).Encode(body)
}
