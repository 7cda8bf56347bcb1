PROGRAMS := entry agent control ebonyreel
STANDINS := engine service weightstore load
MODULES  := . $(PROGRAMS:%=cmd/%) $(STANDINS:%=standin/%)
LINT     := go run github.com/golangci/golangci-lint/v2/cmd/golangci-lint@v2.15.0
SEED     ?= 1

.PHONY: build demo test lint format generate proof bench

build:
	@mkdir -p build
	@for p in $(PROGRAMS); do go build -o build/$$p ./cmd/$$p || exit 1; done
	@for p in $(STANDINS); do go build -o build/standin-$$p ./standin/$$p || exit 1; done

# The whole path on loopback, from empty processes to answers.
demo: build
	@scripts/demo.sh

# Formatter, linter, build and all tests with a steady verdict.
test: lint build
	@for m in $(MODULES); do (cd $$m && go vet ./... && go test ./...) || exit 1; done

lint:
	@for m in $(MODULES); do (cd $$m && $(LINT) run ./...) || exit 1; done

format:
	@for m in $(MODULES); do (cd $$m && $(LINT) fmt) || exit 1; done

# Protocol code; the output is committed, so the build needs no generator.
generate:
	@mkdir -p build/tools
	@cd tools/protoc && GOWORK=off GOBIN=$(CURDIR)/build/tools go install tool
	@cd tools/buf && GOWORK=off GOBIN=$(CURDIR)/build/tools go install tool
	@PATH=$(CURDIR)/build/tools:$$PATH buf generate

proof:
	@echo "nothing to prove yet"

bench:
	@echo "nothing to measure yet"
