# What CI runs is .ci/run; these are its parts by name.
CONFIG ?= node.json

.PHONY: build test lint run

build:
	cargo build --release --locked

test:
	cargo test --locked --workspace

lint:
	cargo fmt --all --check
	cargo clippy --locked --workspace --all-targets -- -D warnings

# One node, told all it needs by the JSON file CONFIG.
run: build
	ROUTER_CONFIG=$(CONFIG) target/release/glendeck-node
