# make demo    shows the whole path on this machine
# make check   formatter, linter, and all tests, also under sanitizers
# make bench   measures; results under docs/results

build := build
sanitized := build-sanitized

.PHONY: demo check build format bench packages

packages:
	@scripts/install_packages.sh

build: packages
	@cmake -S . -B $(build) -G Ninja -DCMAKE_BUILD_TYPE=RelWithDebInfo > /dev/null
	@cmake --build $(build)

demo: build
	@scripts/demo.sh $(build)/bin

check: packages
	@scripts/check.sh $(build) $(sanitized)

format:
	@git ls-files -co --exclude-standard '*.cpp' '*.hpp' | xargs clang-format -i

bench: build
	@scripts/bench.sh $(build)/bin
