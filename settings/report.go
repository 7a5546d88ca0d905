package settings

import "encoding/json"

// treeReport is the JSON form of a tree for operators. Durations have the same form
// as in settings files.
type treeReport struct {
	KeyValidity       string          `json:"keyValidity"`
	CallerKeyValidity string          `json:"callerKeyValidity"`
	Services          []serviceReport `json:"services"`
}

type serviceReport struct {
	Name        string        `json:"name"`
	Team        string        `json:"team"`
	Slots       int           `json:"slots"`
	Connections int           `json:"connections"`
	Floor       int           `json:"floor"`
	QueueLength int           `json:"queueLength"`
	WarmUp      string        `json:"warmUp"`
	Routes      []routeReport `json:"routes"`
}

type routeReport struct {
	Path         string   `json:"path"`
	Methods      []string `json:"methods,omitempty"`
	Importance   string   `json:"importance"`
	Repeat       string   `json:"repeat"`
	Timeout      string   `json:"timeout"`
	Retries      int      `json:"retries"`
	KeyRequired  bool     `json:"keyRequired"`
	MaxBodyBytes int64    `json:"maxBodyBytes"`
}

// MarshalJSON implements [json.Marshaler]. All defaults are filled in.
func (t *Tree) MarshalJSON() (data []byte, err error) {
	report := treeReport{
		KeyValidity: formatDuration(t.KeyValidity()), CallerKeyValidity: formatDuration(t.CallerKeyValidity()),
		Services: []serviceReport{},
	}
	for _, s := range t.Services() {
		report.Services = append(report.Services, s.report())
	}
	return json.Marshal(report)
}

func (s Service) report() serviceReport {
	report := serviceReport{
		Name: s.Name, Team: s.Team, Slots: s.Slots, Connections: s.Connections, Floor: s.Floor,
		QueueLength: s.QueueLength, WarmUp: formatDuration(s.WarmUp), Routes: []routeReport{},
	}
	for _, r := range s.Routes {
		report.Routes = append(report.Routes, routeReport{
			Path: r.Path, Methods: r.Methods, Importance: r.Importance.String(), Repeat: r.Repeat.String(),
			Timeout: formatDuration(r.Timeout), Retries: r.Retries, KeyRequired: r.KeyRequired, MaxBodyBytes: r.MaxBody,
		})
	}
	return report
}
