package admission

import (
	"cmp"
	"math"
	"slices"
)

// class is a set of requests that compete as one: those of one account with the same level and size.
type class struct {
	level   int
	long    bool
	account string
	// pool is set in the class that stands for all small accounts of the level and size.
	pool bool
}

// pooled returns the class of the small accounts of the same level and size.
func (c class) pooled() class {
	return class{level: c.level, long: c.long, pool: true}
}

// compare orders classes. A fixed order makes sums over them the same in each run.
func (c class) compare(other class) int {
	if c.long != other.long {
		if c.long {
			return 1
		}
		return -1
	}
	return cmp.Or(cmp.Compare(c.level, other.level), cmp.Compare(c.account, other.account))
}

// demand is the capacity that a class asks for, in requests in progress.
type demand struct {
	class  class
	amount float64
	// noise is by how much the amount may exceed the usual one by chance: a few requests more or less in a
	// second don't make an account one that asks for more than its share.
	noise float64
	// small is set if the account has so few requests in a window that its own use does not limit it. What all small
	// accounts use together is limited too.
	small bool
}

// smallRequests is the number of requests in a window below which an account is small.
const smallRequests = 2

// unlimited is the share of a class that gets all it asks for.
var unlimited = math.Inf(1)

// divide divides the capacity between classes and returns the share of each; unlimited for those whose
// whole demand is met. Lower levels come first, but leave leastUrgentShare of the capacity to higher
// ones that ask for it, and leastServedShare of what these would get by their part of the demand. Within a level
// long requests are served at least half as often as short ones, and the accounts get equal shares, of which they
// borrow what others leave.
func divide(demands []demand, capacity float64) map[class]float64 {
	shares := make(map[class]float64, len(demands))
	left, total := capacity, 0.0
	byLevel := make([][]demand, maxLevel+1)
	for _, d := range demands {
		byLevel[d.class.level] = append(byLevel[d.class.level], d)
		total += d.amount
	}
	asked := total // by the levels that are left
	for _, level := range byLevel {
		own, noise := sum(level)
		asked -= own
		// The less urgent levels share the reserve of a tenth, so each level may take half of what is left.
		reserve := max(min(leastUrgentShare*capacity, max(0, asked), left/2), capacity*leastServedShare*max(0, asked)/max(total, asked))
		// What the level may ask for more by chance is kept for it too, not given to the next.
		got := min(own+noise, left-reserve)
		left -= got
		divideLevel(level, got, shares)
	}
	return shares
}

// divideLevel divides the capacity of one level between short and long requests.
func divideLevel(demands []demand, capacity float64, shares map[class]float64) {
	var short, long []demand
	for _, d := range demands {
		if d.class.long {
			long = append(long, d)
		} else {
			short = append(short, d)
		}
	}
	shortAsked, _ := sum(short)
	longAsked, _ := sum(long)
	if shortAsked+longAsked == 0 {
		return
	}
	// The part f of the short demand that is served solves f*short + f/2*long = capacity.
	served := min(1, capacity/(shortAsked+longAsked/2))
	divideAccounts(short, served*shortAsked, shares)
	divideAccounts(long, capacity-served*shortAsked, shares)
}

// divideAccounts gives accounts that ask for less than an equal share what they ask for, and divides the
// rest equally between the others.
func divideAccounts(demands []demand, capacity float64, shares map[class]float64) {
	slices.SortStableFunc(demands, func(a, b demand) int { return cmp.Compare(a.amount, b.amount) })
	const rounding = 1e-9
	var small []demand
	granted := 0.0 // to small accounts
	for i, d := range demands {
		equal := capacity / float64(len(demands)-i)
		got := d.amount
		if d.small { // together they are held to what they would get without noise
			small, got = append(small, d), min(d.amount, equal)
			granted += got
		}
		if d.amount-d.noise <= equal*(1+rounding) {
			shares[d.class] = unlimited
			capacity = max(0, capacity-got)
			continue
		}
		shares[d.class] = equal
		capacity -= equal
	}
	if len(small) == 0 {
		return
	}
	asked, noise := sum(small)
	if pool := small[0].class.pooled(); asked-noise <= granted*(1+rounding) {
		shares[pool] = unlimited
	} else {
		shares[pool] = granted
	}
}

// sum returns the whole demand and its noise.
func sum(demands []demand) (amount, noise float64) {
	variance := 0.0
	for _, d := range demands {
		amount += d.amount
		variance += d.noise * d.noise
	}
	return amount, math.Sqrt(variance)
}
