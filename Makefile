.PHONY: build demo test ci measure

build:
	go build -o bin/ ./cmd/...

demo: build
	bin/demo

test:
	go test -race ./...

ci:
	bash .ci/run
