export CGO_ENABLED = 1
BIN = bin/magnoliausher

.PHONY: build demo test lint bench generate

build:
	go build -trimpath -o $(BIN) ./cmd/magnoliausher

demo: build
	$(BIN) demo

test:
	go test -race ./...
	cd e2e/openaiclient && go test -race ./...

lint:
	@unformatted=$$(gofmt -l $$(git ls-files '*.go')); if [ -n "$$unformatted" ]; then echo "gofmt: $$unformatted"; exit 1; fi
	go vet ./...
	cd e2e/openaiclient && go vet ./...
	cd tools && go build -o ../bin/staticcheck honnef.co/go/tools/cmd/staticcheck
	bin/staticcheck ./...

bench:
	go test -run '^$$' -bench . -benchmem ./...

generate:
	tools/generate.sh
