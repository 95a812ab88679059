// Package crowd tests a host process against many clients that don't behave. The tests carry the
// build tag crowd, because each needs the machine for itself:
//
//	go test -tags crowd ./crowd
package crowd
