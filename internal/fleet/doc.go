// Package fleet models a deployment as the front end and the owners of target
// groups see it: the routes and services of the configuration in force, and the
// targets that serve them.
//
// Invariants:
//   - a configuration is replaced only by one with a higher version;
//   - a target that was observed as leaving remains leaving until it restarts;
//   - a target description is ignored if it is older than the latest known
//     description of the same start of that target.
package fleet
