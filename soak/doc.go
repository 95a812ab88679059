// Package soak holds no code of the product: its tests run real hosts as processes
// of one machine and disturb them from outside, by signals and by proxies on the
// loopback interface, while callers and workers check what they were promised.
package soak
