.PHONY: build test lint demo measure compare docs

build test lint demo measure compare docs:
	@go run ./_scripts $@
