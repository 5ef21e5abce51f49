package peer

import "github.com/trefoilwalk/trefoilwalk/instance/operator"

// QueryRequest asks a process what an operator wants to know.
type QueryRequest struct {
	Header
	Question operator.Question
}

// QueryReply is the process's answer.
type QueryReply struct {
	Header
	Answer operator.Answer
}
