// Package platform is the stand-in for the platform: its append-only log, its
// instance list with a lag and its rate-limited weight store.
package platform
