// Package httpapi holds the paths, parameters and bodies of the platform's HTTP
// object API, shared by the client and the stand-in server.
//
//	GET    /v1/objects/{key}?min_revision=N            Object
//	PUT    /v1/objects/{key}?mode=create|update|put&version=N   body: value; Object
//	DELETE /v1/objects/{key}?version=N
//	GET    /v1/objects?prefix=P&after=K&limit=N&min_revision=N  Page
//	GET    /v1/watch?prefix=P&since=N&wait_ms=N        Changes
//	GET    /v1/list                                    model.Listing
//
// A failure is an errs.Error in JSON.
package httpapi
