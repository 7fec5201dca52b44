package frontend

import (
	"math"
	"sync"
)

// predictionWeight is the weight of the newest answer in the mean.
const predictionWeight = 0.1

// predictor predicts the length of an answer as a share of its limit, per
// organisation and kind. Both are declared, which bounds the table.
type predictor struct {
	mu    sync.Mutex
	share map[string]float64
}

func (p *predictor) predict(key string, limit int) int {
	p.mu.Lock()
	defer p.mu.Unlock()
	share, found := p.share[key]
	if !found {
		return limit
	}
	return max(1, int(math.Ceil(share*float64(limit))))
}

func (p *predictor) learn(key string, limit, tokens int) {
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
	p.share[key] = old + predictionWeight*(share-old)
}
