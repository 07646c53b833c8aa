# The README's commands.  `make demo` and `make test` install what they need on a fresh Debian machine.
BUILD ?= build
JOBS ?= $(shell nproc)

.PHONY: all setup build test demo quick format lint purity asan tsan install clean

all: build

setup:
	@.ci/setup

build: setup
	cmake -S . -B $(BUILD) -G Ninja
	cmake --build $(BUILD) -j $(JOBS)

quick:
	cmake -S . -B $(BUILD) -G Ninja >/dev/null
	cmake --build $(BUILD) -j $(JOBS)
	cd $(BUILD) && ctest -L '^$$|quick' -LE integration --output-on-failure -j $(JOBS)

test: setup
	.ci/test

demo: build
	tests/demo.sh $(BUILD)

format:
	git ls-files '*.c' '*.h' '*.cc' | xargs clang-format -i

lint:
	.ci/lint

purity: build
	.ci/purity $(BUILD)/libwlcore/libwlcore.a

install: build
	cmake --install $(BUILD) $(if $(PREFIX),--prefix $(PREFIX))

clean:
	rm -rf $(BUILD) build-asan build-tsan build-fuzz
