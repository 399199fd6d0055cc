// Package order sends the orders of an agent to its engine: load a model, a
// version or an adapter, or change the role, as the configuration in force
// requires.
//
// An agent sends orders only while it holds the lease of its upstream, a row of
// the platform's table whose term is the fencing number. An order that loads
// weights also needs a permit, of which each service has a limited number, so
// that a change never makes all engines of a service unavailable at once. An
// engine that already serves what the configuration asks for causes no platform
// calls.
//
// # Limitations
//
// A sender checks its lease just before it sends the first byte of an order. If
// the process is paused after that check, or the network delays the order for
// longer than the margin, the order can reach the engine after another holder
// has acquired the lease. An engine that checks fencing numbers rejects the
// order; one that ignores them applies it. The new holder reads the engine's
// state after each order and sends again whatever is then pending.
//
// On some systems the monotonic clock stops while the machine is suspended, so
// the holder's view of its lease is extended by the time of the suspension. Only
// engines that check fencing numbers are protected against that.
package order
