// Package routes holds the routing document of a deployment whose operator
// publishes it whole and under growing versions: which service a request goes
// to by its host and path, who may call, and what one replica of each model
// is made of.
package routes

import (
	"time"

	"carawayproxy.example/caraway/internal/fleet"
)

// Kind says what may be repeated of a request.
type Kind uint8

// Kinds of routes.
const (
	// KindUnsafe requests run once at most.
	KindUnsafe Kind = iota
	// KindSafe requests may run any number of times.
	KindSafe
	// KindStream requests are answered by a stream of events. They count as
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

// Route is one rule for requests of a host whose path begins with a prefix.
type Route struct {
	Name       string
	Host       string
	PathPrefix string // begins and ends with a slash
	Kind       Kind
	// Resumable streams may go on at another replica after the last event.
	Resumable bool
	// Timeout bounds the time to the end of the answer, zero for no bound.
	Timeout time.Duration
	// Target is the time to the answer, or to a stream's first event, within
	// which it is of full use.
	Target time.Duration
	// PauseTarget is the longest pause between events for a stream to be on
	// time, zero for none.
	PauseTarget time.Duration
	// Priority ranks requests, zero first.
	Priority int
	// MaxAttempts is how many backend servers one request may be sent to.
	MaxAttempts int
	// Public routes need no key.
	Public bool
	// Generates marks routes whose requests name a model and their size.
	Generates bool
	Targets   []WeightedService
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
	// MaxConnections is how many connections one backend server accepts from
	// all daemons together, zero for no bound.
	MaxConnections int
	// Engine is set for services that run models.
	Engine *Engine
}

// Engine describes the model engines of a service. All times are those of a
// model with a Pace of one.
type Engine struct {
	Slots     int // requests that one replica runs at once
	KVTokens  int // tokens that a replica's memory holds
	StepTime  time.Duration
	SlotTime  time.Duration // added to a step by each request that writes
	PromptPer float64       // prompt tokens read in a second
	// UsualPrompt and UsualAnswer are mean counts of tokens.
	UsualPrompt, UsualAnswer int
	// LoadsPerSecond and LoadsAtOnce bound the loads from the weight store.
	LoadsPerSecond float64
	LoadsAtOnce    int
	// OpenTime is the time from the order to open a replica until it serves.
	OpenTime time.Duration
	// ReportLag is how old an engine's answers about itself are.
	ReportLag time.Duration
	// RejoinTime is how long an instance takes to join a replica of the model
	// that it ran last.
	RejoinTime time.Duration
	// FarFactor is how many times slower a replica runs across fabric domains.
	FarFactor float64
	// StagedModels is how many models one instance keeps on its host.
	StagedModels int
	Models       []Model
}

// Model is one of the models that engines of a service can run.
type Model struct {
	Name string
	// Size is how many instances one replica takes.
	Size int
	// Pace multiplies all times of the engine.
	Pace float64
	// Share is the part of the service's work that the model is expected to
	// get before any was seen.
	Share float64
	// LoadTime is the time to load the weights from the weight store, and
	// StagedTime that from the instance's own host.
	LoadTime, StagedTime time.Duration
}

// Workspace is a customer with the keys by which its requests are known.
type Workspace struct {
	Name fleet.Workspace
	Keys []string
	// Priority replaces that of the route, zero first; negative for none.
	Priority int
}

// Limits bound what a caller may send.
type Limits struct {
	MaxHeaderBytes int
	MaxBodyBytes   int
	HeaderTimeout  time.Duration
	IdleTimeout    time.Duration
}

// ModelService is the name under which requests for a model are routed and
// its replicas are placed: one engine service may run several models.
func ModelService(service, model string) fleet.ServiceName {
	return fleet.ServiceName(service + "/" + model)
}

// ServiceTime estimates how long one replica is kept busy by a request of the
// given size, when it writes for as many requests as it has slots.
func (e *Engine) ServiceTime(m *Model, promptTokens, answerTokens float64) time.Duration {
	slots := float64(max(e.Slots, 1))
	step := (e.StepTime.Seconds() + e.SlotTime.Seconds()*slots) * m.Pace
	reading := 0.0
	if e.PromptPer > 0 {
		reading = promptTokens / e.PromptPer * m.Pace
	}
	return time.Duration((reading + answerTokens*step/slots) * float64(time.Second))
}
