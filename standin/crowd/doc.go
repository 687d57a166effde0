// Package crowd tests a daemon's process against clients that do not stay inside the
// limits, and against many that do at once, and before servers whose answers are broken.
// The tests need Linux: they read the memory and the open descriptors of the process from
// /proc.
package crowd
