.PHONY: build demo test ci measure

build:
	go build -o bin/ ./cmd/... ./declare/examples/...

demo: build
	bin/demo

test:
	go test -race -count=1 ./...

ci:
	bash .ci/run
