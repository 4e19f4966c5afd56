// Package config keeps the operators' configuration: contracts, backend servers,
// services, models and settings.
//
// Every change is one compare-and-swap on the key config/head, which holds the
// configuration's revision and a log of the recent changes. Older changes are
// folded into the snapshot shards config/snap/NNN. A State is an immutable view
// at one revision. Revisions only grow, and no state ever steps back.
package config
