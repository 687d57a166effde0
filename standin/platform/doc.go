// Package platform is the stand-in for the platform: its append-only log, its
// lagging list of instances and its rate-limited weight store.
package platform
