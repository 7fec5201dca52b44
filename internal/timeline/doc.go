// Package timeline keeps a bounded ring of typed events of this process and
// merges the rings of several processes into one causal order. Each event has a
// hybrid logical clock stamp; messages between processes carry the stamp.
package timeline
