# The usual targets; .ci/run calls the same ones.
GO ?= go
GOBIN := $(shell $(GO) env GOPATH)/bin

.PHONY: build test soak lint fmt generate example docs
build: ## builds every program into bin/
	$(GO) build -o bin/ ./cmd/...

test: ## all tests, with fixed seeds
	./scripts/test

soak: ## longer randomised runs: make soak SEED=n DURATION=60s
	SEED=$(or $(SEED),1) DURATION=$(or $(DURATION),60s) ./scripts/soak

example: ## both members' deployments on loopback, under load with a failed primary
	./scripts/example

lint: ## formatter and linter
	test -z "$$($(GOBIN)/gofumpt -l cmd pkg internal examples platform)"
	$(GOBIN)/golangci-lint run

fmt:
	$(GOBIN)/gofumpt -w cmd pkg internal examples platform

docs: ## writes docs/RESULT-CODES.md from pkg/result
	UPDATE_DOCS=1 $(GO) test -count=1 ./pkg/result

generate: ## needs protoc, protoc-gen-go and protoc-gen-twirp
	cd proto && for f in platform peer; do \
	  PATH="$(GOBIN):$$PATH" protoc --go_out=.. --twirp_out=.. \
	    --go_opt=module=github.com/buckthornshore/buckthornshore \
	    --twirp_opt=module=github.com/buckthornshore/buckthornshore $$f.proto || exit 1; done
