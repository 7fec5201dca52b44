// Package fleet holds what a deployment consists of, as the front end and the
// owners of target groups see it: the routes and services of the configuration
// in force, and the targets that serve them.
//
// Invariants:
//   - a configuration is replaced only by one with a higher version;
//   - a target that was seen leaving stays leaving until it starts again;
//   - a description that is older than the last one of the same start of a
//     target is ignored.
package fleet
