// Command standin-runner runs a stand-in for a model engine on one address.
package main
