package group

import "time"

// SetRetryDelay sets the delay between the attempts of a write.
func SetRetryDelay(delay time.Duration) { retryDelay = delay }
