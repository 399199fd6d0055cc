export CGO_ENABLED = 1
BIN = bin/magnoliausher

.PHONY: build demo test lint bench generate gopls

build:
	go build -trimpath -o $(BIN) ./cmd/magnoliausher

demo: build
	$(BIN) demo

# The tests of e2e/crowd measure memory, so they run apart from the others.
# TestUnevenSpeeds is 40 s of one core in virtual time, and over five minutes with the race
# detector, which the other tests of its package cover.
# KNOWN_RED is a pattern of tests that KNOWN-RED.txt lists; CI sets it.
SKIP = -skip '$(KNOWN_RED)'
test:
	go test -race -skip '$(if $(KNOWN_RED),$(KNOWN_RED)|)^TestUnevenSpeeds$$' $$(go list ./... | grep -v /e2e/crowd$$)
	go test $(if $(KNOWN_RED),$(SKIP)) -run '^TestUnevenSpeeds$$' ./dispatch
	go test $(if $(KNOWN_RED),$(SKIP)) ./e2e/crowd
	cd e2e/openaiclient && go test -race ./...
	cd tools && go test -race ./slope

lint:
	@unformatted=$$(gofmt -l $$(git ls-files '*.go')); if [ -n "$$unformatted" ]; then echo "gofmt: $$unformatted"; exit 1; fi
	go vet ./...
	cd e2e/openaiclient && go vet ./...
	cd tools && go build -o ../bin/staticcheck honnef.co/go/tools/cmd/staticcheck
	bin/staticcheck ./...

# The benchmarks of docs/CAPACITY.md in one short set-up of about two minutes.
# Each runs 4 times, the least number for which benchstat can tell a change from
# noise; -alpha 1 prints the ratio of all of them, with its p value.
BENCH_PACKAGES = ./limit ./contract ./instance ./poison ./job ./storage ./link ./entry ./agent ./routing
BENCH_NAMES = ^Benchmark(Callers|CallersMemory|Decode|ApplyList|Subset|Merge|IndexFirst|IndexUnchanged|IndexChanged|Schedule|Scan|Instances|Run|Request|Tokens|Agent|Choose)$$

bench:
	mkdir -p bin
	cd tools && go build -o ../bin/benchstat golang.org/x/perf/cmd/benchstat
	cd tools && go build -o ../bin/slope ./slope
	go test -p 1 -cpu 2 -run '^$$' -bench '$(BENCH_NAMES)' -benchtime 100ms -count 4 $(BENCH_PACKAGES) > bin/bench.txt
	go test -cpu 2 -run '^$$' -bench '^BenchmarkLinks$$/busy=false/links=100$$' -benchtime 1x -count 4 ./link -link.window 2s >> bin/bench.txt
	bin/slope < bin/bench.txt
	bin/benchstat -alpha 1 docs/bench.txt bin/bench.txt

generate:
	tools/generate.sh

# bin/gopls renames an identifier with all its uses: gopls rename -w FILE:LINE:COLUMN NEWNAME
gopls:
	mkdir -p bin
	cd tools/gopls && go build -o ../../bin/gopls golang.org/x/tools/gopls
