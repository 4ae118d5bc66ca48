.PHONY: build test lint demo measure docs

build test lint demo measure docs:
	@go run _scripts/make.go $@
