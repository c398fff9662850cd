package proxy

// lowestPriority is the last rank that endpoints know.
const lowestPriority = 9

// rank returns the request's rank by its account or route, 0 first.
func (j *job) rank() int {
	if j.account != nil && j.account.Ranked {
		return max(0, j.account.Priority)
	}
	return max(0, j.route.Priority)
}

// priority returns the request's rank at endpoints, 0 first. Of requests with
// the same rank, those that are to begin sooner than others of the service go
// first, so that all of them can be let in up to the same load; the rest of an
// answer that has begun goes before them.
func (j *job) priority() int {
	priority := 2 * j.rank()
	if j.begun {
		return min(max(0, priority-1), lowestPriority)
	}
	if j.route.Aim >= j.config.LongestAim(j.service) {
		priority++
	}
	return min(priority, lowestPriority)
}
