package backend

import "fmt"

// NotSentError means that the request certainly did not reach the server.
type NotSentError struct{ Cause error }

func (e *NotSentError) Error() string { return "not sent to backend server: " + e.Cause.Error() }

// Unwrap returns the transport's error.
func (e *NotSentError) Unwrap() error { return e.Cause }

// NoAnswerError means that the request may have been sent and no complete answer came.
type NoAnswerError struct{ Cause error }

func (e *NoAnswerError) Error() string {
	return "no whole answer from backend server: " + e.Cause.Error()
}

// Unwrap returns the transport's error.
func (e *NoAnswerError) Unwrap() error { return e.Cause }

// CrossedError means that the answer received carries the id of another request.
type CrossedError struct{ Want, Got string }

func (e *CrossedError) Error() string {
	return fmt.Sprintf("answer is for request %q, not %q", e.Got, e.Want)
}

// UnlabelledError means that an answer carries no request id or more than one.
type UnlabelledError struct{ Status, IDs int }

func (e *UnlabelledError) Error() string {
	return fmt.Sprintf("answer with status %d carries %d request ids, not one", e.Status, e.IDs)
}

// UnboundedError means that an answer does not state its length, so that a
// truncated one cannot be distinguished from a complete one.
type UnboundedError struct{}

func (e *UnboundedError) Error() string { return "answer does not tell its length" }

// LeavingError means that the server refused the request because it is leaving.
type LeavingError struct{}

func (e *LeavingError) Error() string { return "backend server is leaving" }

// LargeError means that the body of an answer is larger than allowed.
type LargeError struct{ Most int64 }

func (e *LargeError) Error() string { return fmt.Sprintf("answer is larger than %d bytes", e.Most) }
