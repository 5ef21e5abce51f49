package rate

// Message is what entries tell each other about rates.
type Message struct{}
