package group

import "time"

// SetRetryPause shortens the pause between attempts.
func SetRetryPause(pause time.Duration) { retryPause = pause }
