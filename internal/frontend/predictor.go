package frontend

import (
	"math"
	"sync"
)

// lengthSmoothing is the weight of the newest answer in the moving average.
const lengthSmoothing = 0.1

// lengthPredictor predicts the length of an answer from the moving average of the
// fraction of max_tokens that earlier answers used. It keeps one average for each
// organisation and kind; both are declared in the configuration, which bounds the
// number of averages.
type lengthPredictor struct {
	mu    sync.Mutex
	share map[string]float64 // mean fraction of the limit, by predictionKey
}

// predict returns the expected number of tokens of an answer. Without an earlier
// answer for the key, it returns the limit.
func (p *lengthPredictor) predict(key string, limit int) int {
	p.mu.Lock()
	defer p.mu.Unlock()
	share, found := p.share[key]
	if !found {
		return limit
	}
	return max(1, int(math.Ceil(share*float64(limit))))
}

// observe records the number of tokens of a complete answer and its limit.
func (p *lengthPredictor) observe(key string, limit, tokens int) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.share == nil {
		p.share = map[string]float64{}
	}
	share := float64(tokens) / float64(limit)
	old, found := p.share[key]
	if !found {
		old = share
	}
	p.share[key] = old + lengthSmoothing*(share-old)
}
