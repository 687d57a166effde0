// Package service holds the aggregate Service: what operators publish about a
// named model or plain service. A publication is accepted only if every
// service in it was written against the revision in force.
package service

import (
	"time"

	"carawayproxy.example/caraway/internal/fleet"
)

// Spec is the content of one service file, decoded strictly from YAML.
type Spec struct {
	Service fleet.ServiceName `yaml:"service"`
	// Kind is "engine" for a model and "plain" for a plain service.
	Kind fleet.InstanceKind `yaml:"kind"`
	// Owner may publish the service; others may not, once it is set.
	Owner string     `yaml:"owner"`
	Pool  fleet.Pool `yaml:"pool"`
	// Model is the name of the weights in the weight store.
	Model string `yaml:"model"`
	// Versions in force; the first is the default.
	Versions   []VersionSpec   `yaml:"versions"`
	Adapters   []fleet.Adapter `yaml:"adapters"`
	Workspaces []WorkspaceSpec `yaml:"workspaces"`
	Methods    []MethodSpec    `yaml:"methods"`
	Replicas   ReplicaSpec     `yaml:"replicas"`
	Limits     LimitSpec       `yaml:"limits"`
	Weights    WeightSpec      `yaml:"weights"`
}

// VersionSpec is one version of the model with its share of the groups.
type VersionSpec struct {
	Name   fleet.Version `yaml:"name"`
	Groups int           `yaml:"groups"`
	Role   fleet.Role    `yaml:"role"` // "serve" when empty
}

// WorkspaceSpec admits one workspace to the service.
type WorkspaceSpec struct {
	Name fleet.Workspace `yaml:"name"`
	// Share is the workspace's weight against the others, 1 when zero.
	Share float64 `yaml:"share"`
	// MaxInFlight bounds its requests at one daemon, zero for no bound.
	MaxInFlight uint32 `yaml:"max_in_flight"`
}

// MethodSpec is one method of a plain service.
type MethodSpec struct {
	Name fleet.Method `yaml:"name"`
	// Idempotent methods may be tried again; others run at most once and
	// need an idempotency key.
	Idempotent bool `yaml:"idempotent"`
}

// ReplicaSpec says what one replica group is made of.
type ReplicaSpec struct {
	Instances int           `yaml:"instances"` // of one group
	Spares    int           `yaml:"spares"`    // reserved for each group
	LoadTime  time.Duration `yaml:"load_time"` // of one group, store free
}

// LimitSpec bounds the requests of a service.
type LimitSpec struct {
	MaxBodyBytes    int           `yaml:"max_body_bytes"`
	MaxTokens       uint32        `yaml:"max_tokens"`
	DefaultDeadline time.Duration `yaml:"default_deadline"`
	MaxDeadline     time.Duration `yaml:"max_deadline"`
	MaxAttempts     int           `yaml:"max_attempts"`
	// RetryRatio is how many retries a daemon may add for each request.
	RetryRatio float64 `yaml:"retry_ratio"`
}

// WeightSpec prices group downtime against stranded accelerators.
type WeightSpec struct {
	Downtime float64 `yaml:"downtime"` // cost of one group for one second
	Stranded float64 `yaml:"stranded"` // cost of one accelerator for one second
}

// Published is one service as it is in force. It is immutable.
type Published struct {
	Spec      Spec
	Body      string // the file as published
	Revision  uint64 // of the catalog that brought it
	Author    string
	UnixMilli int64
}

// Catalog is an immutable state of all services in force.
type Catalog struct {
	// Revision grows by one with each accepted publication.
	Revision uint64
	Services map[fleet.ServiceName]*Published
}
