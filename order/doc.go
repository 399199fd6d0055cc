// Package order sends the orders of an agent to its engine: load a model, a
// version or an adapter, and change the role, as the configuration in force
// asks.
//
// An agent sends orders only while it holds the lease of its upstream, a row of
// the platform's table whose term is the fencing number. An order that loads
// weights also needs one of a limited number of permits of its service, so that
// a change never takes all engines of a service out at once. An engine that
// already serves what the configuration asks costs the platform nothing.
//
// # What remains possible
//
// A sender checks its lease just before the first byte of an order. If it is
// paused after that check, or the network holds the order back for longer than
// the margin, the order can reach the engine after another holder has taken the
// lease over. An engine that checks fencing numbers refuses it; one that ignores
// them applies it. The new holder reads the engine's state after each order and
// repeats what is then due. A machine that is suspended as a whole stops its
// monotonic clock on some systems, so its lease seems to last longer by the time
// of the suspension; only engines that check fencing numbers are safe from that.
package order
