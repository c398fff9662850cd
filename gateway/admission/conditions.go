package admission

import "time"

// maxNewsAge is the age up to which news of other gateways is used. Older ones are no better than
// an equal share.
const maxNewsAge = 2 * time.Second

// cutOffTime is how long a gateway that hears less than half of the others takes itself to be cut
// off. Callers leave a gateway that is cut off within seconds.
const cutOffTime = 20 * time.Second

// Heard is what a gateway knew of the others when it last heard them.
type Heard struct {
	// Demand is the demand of the others, Running the number of their requests.
	Demand  Demand
	Running float64
	// Covers is the number of gateways that are included, Age the age of the news.
	Covers int
	Age    time.Duration
}

// usable returns whether the news tells the demand of others now.
func (n *News) usable() bool {
	return n.Covers > 0 && n.Age <= maxNewsAge
}

// mostLost returns whether less than half of the known gateways are alive as far as is known.
func mostLost(news News) bool {
	return 2*news.Gateways < news.Known
}

// ConditionsFrom returns the conditions from what is known of endpoints and other gateways. News
// that covers only some of them stands for all. A gateway that hears less than half of the gateways
// that it knows of takes the others to be alive for cutOffTime: it is more likely to be cut off
// itself, and their requests still use the room.
func ConditionsFrom(supply Supply, news News, own Demand) Conditions {
	others := news.Gateways
	if mostLost(news) && news.LostFor < cutOffTime {
		others = news.Known
	}
	c := Conditions{Room: supply.Room, Running: supply.Running, Own: own, Fleet: own, Gateways: others + 1, Covers: news.Covers, Age: news.Age}
	if others == 0 {
		return c
	}
	heard := Heard{Demand: news.Demand, Running: supply.Running - supply.Own, Covers: news.Covers}
	if !news.usable() {
		heard = news.Last
	}
	if heard.Covers == 0 || heard.Age > cutOffTime {
		c.Running = supply.Own * float64(others+1)
		c.Fleet = own.plus(own, float64(others))
		return c
	}
	factor := max(1, float64(others)/float64(heard.Covers))
	c.Running = supply.Own + heard.Running*factor
	c.Fleet = own.plus(heard.Demand, factor)
	return c
}

// plus returns the sum of d and other, multiplied by factor.
func (d Demand) plus(other Demand, factor float64) Demand {
	for r, n := range other.Recent {
		d.Recent[r] += n * factor
	}
	d.Mean += other.Mean * factor
	return d
}
