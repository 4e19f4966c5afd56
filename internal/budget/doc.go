// Package budget keeps prepaid budgets from being overspent.
//
// A budget's durable Record holds its top-ups and, for each holder (one router
// process), the tokens granted to it and the tokens it has reported spent. Many
// records share one Shard, which is one value of the key-value service and is
// changed by compare-and-swap. Shard.Apply makes each change and refuses one
// that would grant more than was topped up.
//
// A router keeps a Wallet. It reserves and settles requests without asking
// anybody, out of grants that it knows durable. So the sum that all routers can
// spend is at most the sum of the grants, whatever messages are lost, late or
// doubled and however long a router is paused.
//
// Amounts are tokens. Granted, Spent, Floor, Need and Target are cumulative over
// the life of a holder, so that a repeated or late message can't count twice.
//
// The package is pure: it has no clock, I/O, goroutine or random source, and it
// is not safe for concurrent use.
package budget
