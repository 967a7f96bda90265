.PHONY: check test bench capacity generate

check: ## what CI runs
	bash .ci/run

test:
	go test -race -timeout 10m ./...

bench: ## throughput, added latency, memory of idle callers
	go test ./internal/server -run XXX -bench . -benchtime 2x -timeout 10m

capacity: ## the slopes of docs/CAPACITY.md
	go run . survey
	go test ./internal/server -run XXX -bench 'Idle' -benchtime 3x
	go test ./internal/server -run XXX -bench 'Statement' -benchtime 3s

generate: ## only when a .proto file changes
	buf generate
