// Package soak contains only tests. They run real hosts as processes on one machine and
// inject faults from outside, with signals and with proxies on the loopback interface,
// while callers and workers check that the product keeps its guarantees.
package soak
