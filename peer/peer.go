// Package peer wraps net/rpc between the processes of the system with what
// that library lacks: a deadline on each call, a limit on message size, a
// check of the connection before use, and closing at shutdown.
package peer
