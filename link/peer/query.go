package peer

import "github.com/trefoilwalk/trefoilwalk/instance/operator"

// QueryRequest carries an operator's question about the receiving process.
type QueryRequest struct {
	Header
	Question operator.Question
}

// QueryReply carries the answer to a QueryRequest.
type QueryReply struct {
	Header
	Answer operator.Answer
}
