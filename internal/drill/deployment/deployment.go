// Package deployment describes the deployments that a drill starts: hosts, services, kinds of
// requests, callers and bounds.
package deployment

import (
	"time"

	"corianderhitch/internal/drill/record"
)

// Deployment is what a drill starts.
type Deployment struct {
	Name        string        `toml:"name"`
	Region      string        `toml:"region"`
	Domains     []Domain      `toml:"domains"`
	Host        HostLimits    `toml:"host"`
	Services    []Service     `toml:"services"`
	Kinds       []Kind        `toml:"kinds"`
	Callers     []Callers     `toml:"callers"`
	Accounts    int           `toml:"accounts"` // client accounts
	Bounds      Bounds        `toml:"bounds"`
	Heartbeat   time.Duration `toml:"heartbeat"`    // of targets at the store
	IdleTimeout time.Duration `toml:"idle_timeout"` // of callers' connections
	StoreAnswer time.Duration `toml:"store_answer"` // time that the store takes to answer
}

// Service returns the service with the name, nil if there is none.
func (d *Deployment) Service(name string) *Service {
	for i := range d.Services {
		if d.Services[i].Name == name {
			return &d.Services[i]
		}
	}
	return nil
}

// Hosts returns the number of hosts of all failure domains.
func (d *Deployment) Hosts() int {
	n := 0
	for _, domain := range d.Domains {
		n += domain.Hosts
	}
	return n
}

// Kind returns the kind of request with the name, nil if there is none.
func (d *Deployment) Kind(name string) *Kind {
	for i := range d.Kinds {
		if d.Kinds[i].Name == name {
			return &d.Kinds[i]
		}
	}
	return nil
}

// Record returns the part of the description that rules refer to.
func (d *Deployment) Record() record.Deployment {
	b := d.Bounds
	out := record.Deployment{Name: d.Name, Routes: make(map[string]record.Route, len(d.Kinds)), Bounds: record.Bounds{
		Contact: b.Contact, Grace: b.Grace, Lost: b.Lost, Apply: b.Apply, Drain: b.Drain, Evacuate: b.Evacuate,
		RetryRatio: b.RetryRatio, RetrySlack: b.RetrySlack, RetryWindow: b.RetryWindow, MaxCrashRetries: b.MaxCrashRetries,
	}}
	for _, k := range d.Kinds {
		out.Routes[k.Name] = record.Route{Name: k.Name, Service: k.Service, Kind: k.Kind, MaxAttempts: k.Attempts, Timeout: k.Timeout, Resumable: k.Resumable}
	}
	return out
}
