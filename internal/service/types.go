// Package service manages the published configuration of services, each of
// which is a named model or a plain service. A publication is accepted only if
// every change in it was written against the service's current revision.
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
	// Owner is the only author who may publish the service. If it is empty,
	// everyone may.
	Owner string     `yaml:"owner"`
	Pool  fleet.Pool `yaml:"pool"`
	// Model is the name of the weights in the weight store.
	Model string `yaml:"model"`
	// Versions are the current versions. The first is the default.
	Versions   []VersionSpec   `yaml:"versions"`
	Adapters   []fleet.Adapter `yaml:"adapters"`
	Workspaces []WorkspaceSpec `yaml:"workspaces"`
	Methods    []MethodSpec    `yaml:"methods"`
	Replicas   ReplicaSpec     `yaml:"replicas"`
	Limits     LimitSpec       `yaml:"limits"`
	Weights    WeightSpec      `yaml:"weights"`
}

// VersionSpec is one version of the model with its number of groups.
type VersionSpec struct {
	Name   fleet.Version `yaml:"name"`
	Groups int           `yaml:"groups"`
	Role   fleet.Role    `yaml:"role"` // "serve" when empty
}

// WorkspaceSpec admits one workspace to the service.
type WorkspaceSpec struct {
	Name fleet.Workspace `yaml:"name"`
	// Share is the workspace's weight relative to other workspaces, 1 if left
	// out.
	Share float64 `yaml:"share"`
	// MaxInFlight bounds the workspace's requests in flight at one daemon; zero
	// means no bound.
	MaxInFlight uint32 `yaml:"max_in_flight"`
}

// MethodSpec is one method of a plain service.
type MethodSpec struct {
	Name fleet.Method `yaml:"name"`
	// Idempotent methods may be retried. Other methods run at most once and
	// need an idempotency key.
	Idempotent bool `yaml:"idempotent"`
}

// ReplicaSpec is the composition of one replica group.
type ReplicaSpec struct {
	Instances int           `yaml:"instances"` // number in one group
	Spares    int           `yaml:"spares"`    // number reserved for each group
	LoadTime  time.Duration `yaml:"load_time"` // of one group while the weight store is idle
}

// LimitSpec holds the limits on the requests of a service.
type LimitSpec struct {
	MaxBodyBytes    int           `yaml:"max_body_bytes"`
	MaxTokens       uint32        `yaml:"max_tokens"`
	DefaultDeadline time.Duration `yaml:"default_deadline"`
	MaxDeadline     time.Duration `yaml:"max_deadline"`
	MaxAttempts     int           `yaml:"max_attempts"`
	// RetryRatio is the retry budget: retries that a daemon may add per request.
	RetryRatio float64 `yaml:"retry_ratio"`
}

// WeightSpec holds the relative costs of group downtime and idle accelerators.
type WeightSpec struct {
	Downtime float64 `yaml:"downtime"` // cost of one group being down for one second
	Stranded float64 `yaml:"stranded"` // cost of one accelerator being idle for one second
}

// Published is one published service. It is immutable.
type Published struct {
	Spec      Spec
	Body      string // the file as published
	Revision  uint64 // catalog revision of the service's latest change
	Author    string
	UnixMilli int64
}

// Catalog is an immutable snapshot of all published services.
type Catalog struct {
	// Revision increases by one with each accepted publication.
	Revision uint64
	Services map[fleet.ServiceName]*Published
}
