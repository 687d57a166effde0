// Package routes holds the routing document of a deployment: which service a
// request is routed to by its host and path, who may call it, and how the
// replicas of each model are composed. The operator publishes the document as a
// whole, with increasing versions.
package routes

import (
	"time"

	"carawayproxy.example/caraway/internal/fleet"
)

// Kind determines whether a request may be repeated.
type Kind uint8

// Kinds of routes.
const (
	// KindUnsafe requests run at most once.
	KindUnsafe Kind = iota
	// KindSafe requests may run any number of times.
	KindSafe
	// KindStream requests are answered by an event stream. They are treated as
	// unsafe unless their route is resumable.
	KindStream
)

// Document is one version of the routing document. It is immutable.
type Document struct {
	Version    uint64
	Routes     []Route
	Services   []Service
	Workspaces []Workspace
	Limits     Limits
}

// Route matches the requests of a host whose path begins with a prefix.
type Route struct {
	Name       string
	Host       string
	PathPrefix string // begins and ends with a slash
	Kind       Kind
	// Resumable streams may resume at another replica after the last event.
	Resumable bool
	// Timeout bounds the time to the end of the answer; zero for no limit.
	Timeout time.Duration
	// Target is the latency objective: the time to the answer, or to a stream's
	// first event.
	Target time.Duration
	// PauseTarget is the objective for the longest pause between the events of a
	// stream; zero for none.
	PauseTarget time.Duration
	// Priority orders requests; zero is the highest.
	Priority int
	// MaxAttempts is the maximum number of backend servers that a request is
	// sent to.
	MaxAttempts int
	// Public routes need no key.
	Public bool
	// Generates marks routes whose requests state a model and their token counts.
	Generates bool
	// Homes are the regions whose backend servers may run the route's requests; empty for
	// all.
	Homes   []fleet.Region
	Targets []WeightedService
}

// WeightedService is one of the services that share a route's requests.
type WeightedService struct {
	Service string
	Weight  float64
}

// Service is a set of backend servers that run the same software.
type Service struct {
	Name       string
	HealthPath string
	// MaxConnections is the maximum number of connections of one backend server
	// from all daemons together; zero for no limit.
	MaxConnections int
	// ColdStart is how long a backend server is cold after it starts during traffic,
	// and ColdRequestsPerSecond the requests a second that it then takes from all
	// daemons together. Zero if its servers are never cold.
	ColdStart             time.Duration
	ColdRequestsPerSecond float64
	// Engine is set for services that run models.
	Engine *Engine
}

// Engine describes the model engines of a service. All times apply to a model
// with a TimeFactor of one.
type Engine struct {
	Slots                  int           // requests that one replica runs concurrently
	KVTokens               int           // KV cache capacity of a replica in tokens
	StepTime               time.Duration // base time of a decoding step
	SlotTime               time.Duration // added to a step by each request that is decoding
	PrefillTokensPerSecond float64       // prefill rate in tokens per second
	// MeanPromptTokens and MeanAnswerTokens are the mean token counts of a
	// request.
	MeanPromptTokens, MeanAnswerTokens int
	// LoadsPerSecond and LoadsAtOnce limit loads from the weight store.
	LoadsPerSecond float64
	LoadsAtOnce    int
	// StartupTime is the time from the order to open a replica until it serves.
	StartupTime time.Duration
	// ReportLag is the age of an engine's reports about itself.
	ReportLag time.Duration
	// RejoinTime is how long an instance takes to join a replica of the model
	// that it ran last.
	RejoinTime time.Duration
	// CrossDomainSlowdown is the slowdown of a replica that spans fabric domains.
	CrossDomainSlowdown float64
	// StagedModels is the number of models that one instance keeps on its host.
	StagedModels int
	Models       []Model
}

// Model is a model that the engines of a service can run.
type Model struct {
	Name string
	// Size is the number of instances per replica.
	Size int
	// TimeFactor multiplies all times of the engine; larger is slower.
	TimeFactor float64
	// Share is the expected fraction of the service's work, used until the
	// model's work has been observed.
	Share float64
	// LoadTime is the time to load the weights from the weight store, and
	// StagedTime the time to load them from the instance's own host.
	LoadTime, StagedTime time.Duration
}

// Workspace is a customer with the API keys that identify its requests.
type Workspace struct {
	Name fleet.Workspace
	Keys []string
	// Priority overrides that of the route; zero is the highest, negative means
	// no override.
	Priority int
	// Homes is as in Route. Where both have homes, both bind.
	Homes []fleet.Region
}

// Limits bound the size and timing of callers' requests.
type Limits struct {
	MaxHeaderBytes int
	MaxBodyBytes   int
	HeaderTimeout  time.Duration
	IdleTimeout    time.Duration
}

// ModelService returns the service name under which requests for a model are
// routed and its replicas are placed. An engine service may run several models.
func ModelService(service, model string) fleet.ServiceName {
	return fleet.ServiceName(service + "/" + model)
}

// ServiceTime estimates how long a request of the given size occupies a replica
// that decodes for as many requests as it has slots.
func (e *Engine) ServiceTime(m *Model, promptTokens, answerTokens float64) time.Duration {
	slots := float64(max(e.Slots, 1))
	step := (e.StepTime.Seconds() + e.SlotTime.Seconds()*slots) * m.TimeFactor
	prefill := 0.0
	if e.PrefillTokensPerSecond > 0 {
		prefill = promptTokens / e.PrefillTokensPerSecond * m.TimeFactor
	}
	return time.Duration((prefill + answerTokens*step/slots) * float64(time.Second))
}
