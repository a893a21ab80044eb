.PHONY: build test lint run

build:
	cargo build --release --locked --workspace

test:
	cargo test --locked

lint:
	cargo fmt --check
	cargo clippy --workspace --all-targets --locked -- -D warnings

# Needs GW_CONFIG (and what it does not tell of GW_NAME, GW_LISTEN, GW_DISCOVERY).
run: build
	exec target/release/ironmast run
