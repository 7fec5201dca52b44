.PHONY: build demo test ci measure capacity

build:
	go build -o bin/ ./cmd/... ./declare/examples/...

demo: build
	bin/demo

test:
	.ci/test

ci:
	bash .ci/run

# Prints the measures of both deployments for seeds 1 to 5; equal commits give equal figures.
measure:
	go run ./cmd/cicadaslip replay --synthetic baltzips --synthetic jegue

# Prints the figures behind docs/CAPACITY.md. The short -benchtime keeps the run
# below three minutes; figures of a single iteration are marked there.
capacity:
	go test -count=1 -p 1 -run '^$$' -bench . -benchtime 50ms -timeout 170s \
		./internal/membership ./internal/peer ./internal/group ./internal/permit \
		./internal/policy/routing ./internal/loadcoord ./internal/account ./internal/timeline \
		./internal/core ./internal/config
	go test -count=1 -run '^$$' -bench 'Claim' -benchtime 50ms -timeout 170s ./internal/journal
	go test -count=1 -run '^$$' -bench 'IndexMemory|StoreCalls|Takeover|Snapshot' -benchtime 1x -timeout 170s ./internal/journal
