// Command standin-runner runs a stand-in model engine on one address.
package main
