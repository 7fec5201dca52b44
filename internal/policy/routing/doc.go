// Package routing ranks the target groups that can serve a request by estimated
// cost. The cost of a group is its queue wait, plus the wait for an adapter load
// if the adapter is not resident, plus the cost of distance. Distance costs more
// than its delay because traffic between regions is billed.
package routing
