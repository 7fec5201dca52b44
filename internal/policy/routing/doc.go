// Package routing ranks the target groups that can serve a request. The
// estimated cost of a group is its queue wait, plus the wait for an adapter
// load when the adapter is not resident, plus the cost of distance. Distance
// costs more than its delay because traffic between regions is billed.
package routing
