package balance

// sampleSize is the number of endpoints preferred by other gateways that are compared for a
// request. The known load of these endpoints is as old as the last heartbeat. If all of
// them were compared, all gateways would select the same few at the same moment, and more
// so the more gateways there are. The better of two random endpoints ("power of two
// choices") is rarely selected by many gateways at once.
const sampleSize = 2

// endpointLoad is an endpoint and its load.
type endpointLoad struct {
	endpoint *endpoint
	load     float64
}

// reservoir is a uniform random sample of sampleSize of the added endpoints (reservoir
// sampling).
type reservoir struct {
	// random returns a number in [0, 1).
	random func() float64
	kept   [sampleSize]endpointLoad
	seen   int
}

func (s *reservoir) add(e *endpoint, load float64) {
	i := s.seen
	s.seen++
	if i >= sampleSize {
		i = int(s.random() * float64(s.seen))
	}
	if i < sampleSize {
		s.kept[i] = endpointLoad{e, load}
	}
}

// items returns the sampled endpoints.
func (s *reservoir) items() []endpointLoad {
	return s.kept[:min(s.seen, sampleSize)]
}
