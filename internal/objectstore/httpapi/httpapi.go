package httpapi

// Paths of the API.
const (
	ObjectsPath = "/v1/objects"
	ObjectPath  = "/v1/objects/" // followed by the key
	WatchPath   = "/v1/watch"
	ListPath    = "/v1/list"
)

// Names of the query parameters.
const (
	MinRevision = "min_revision"
	Mode        = "mode"
	Version     = "version"
	Prefix      = "prefix"
	After       = "after"
	Limit       = "limit"
	Since       = "since"
	WaitMillis  = "wait_ms" // how long a watch waits, in milliseconds
)

// Values of the parameter Mode of a PUT.
const (
	ModeCreate = "create"
	ModeUpdate = "update"
	ModePut    = "put"
)
