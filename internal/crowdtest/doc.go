// Package crowdtest starts entry VMs as separate processes and connects crowds of callers
// that a process must survive: bodies that never end, bodies over the limit, many large bodies
// at once, heads, trailers and prompts that cost more than their bytes, long names, more connections
// than descriptors, callers that do not read, and all of these at once on the smallest and the
// largest VM. The tests check
// that the process lives, that its memory and its descriptors stay within the limits of its
// settings, and that an ordinary request is answered afterwards. They check no times and no
// share of served requests.
package crowdtest
