# The README's two commands. Both install what they need on a fresh Debian 12 and build into build/.

JOBS ?= $(shell nproc)
BUILD ?= build

.PHONY: demo test build packages

packages:
	bash tools/install-packages

build: packages
	cmake -S . -B $(BUILD) -G Ninja -DCMAKE_BUILD_TYPE=RelWithDebInfo
	cmake --build $(BUILD) -j $(JOBS)

demo: build
	$(BUILD)/bin/toucanstep demo

test: build
	bash tools/run-tests $(BUILD)
