package userplatform

import (
	"math/rand/v2"
	"net/http"
	"strings"
	"time"
)

// endlessAnswers are ways to answer with bytes that never end: what comes first, and what
// is repeated. ID stands for the request's identifier.
var endlessAnswers = []struct{ head, repeat string }{
	{"HTTP/1.1 200 OK\r\n", "X-Filler: filler filler filler filler\r\n"},
	{"HTTP/1.1 200 OK\r\nX-Filler: ", "filler "},
	{"", "filler "},
	{"", "HTTP/1.1 102 Processing\r\n\r\n"},
	{"HTTP/1.1 200 OK\r\nRequest-Id: ID\r\nServer-Signature: s\r\n\r\n", "filler "},
	{"HTTP/1.1 200 OK\r\nRequest-Id: ID\r\nServer-Signature: s\r\nContent-Length: 4000000000000\r\n\r\n", "filler "},
	{"HTTP/1.1 200 OK\r\nRequest-Id: ID\r\nServer-Signature: s\r\nContent-Type: text/event-stream\r\n\r\n", "data: filler\n"},
}

// endlessFor bounds how long a runner sends, in case the client never closes.
const endlessFor = 10 * time.Second

// answerEndlessly answers with bytes that do not end until the client closes the connection.
func answerEndlessly(w http.ResponseWriter, id string, random uint64) {
	c, _, err := http.NewResponseController(w).Hijack()
	if err != nil {
		return
	}
	defer func() { _ = c.Close() }()
	if c.SetDeadline(time.Now().Add(endlessFor)) != nil {
		return
	}
	a := endlessAnswers[rand.New(rand.NewPCG(random, 3)).IntN(len(endlessAnswers))]
	text := strings.ReplaceAll(a.head, "ID", id)
	chunk := strings.Repeat(a.repeat, 1000)
	for {
		if _, err := c.Write([]byte(text)); err != nil {
			return
		}
		text = chunk
	}
}
