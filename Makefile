.PHONY: build demo test ci measure

build:
	go build -o bin/ ./cmd/... ./declare/examples/...

demo: build
	bin/demo

test:
	go test -race -count=1 ./...

ci:
	bash .ci/run

# Prints the measures of both deployments for seeds 1 to 5; equal commits give equal figures.
measure:
	go run ./cmd/cicadaslip replay --synthetic baltzips --synthetic jegue
