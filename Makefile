# Targets: all, tests, fuzzers, format, format-check, lint, clean. SAN=address|thread builds with a sanitizer, in
# build/$(SAN).

SAN ?=
B := $(if $(SAN),build/$(SAN),build/release)

PKGS := ck msgpack libmicrohttpd libcurl jansson libxxhash gsl libsodium
CC := gcc
CXX := g++
CPPFLAGS := -D_GNU_SOURCE -Isrc -Iingress -Iplatform -Istandins $(shell pkg-config --cflags $(PKGS))
WARN := -Wall -Wextra -Werror -Wshadow -Wstrict-prototypes -Wmissing-prototypes -Wvla
CFLAGS := -std=gnu11 -O2 -g -pthread $(WARN)
CXXFLAGS := -std=c++17 -O2 -g -pthread -Wall -Wextra -Werror
LDLIBS := -Wl,--as-needed -lhttp_parser -lmicrohttpd -lcurl -ljansson -lsodium -lmsgpackc -lxxhash -lz -lgsl -lgslcblas -lck -lstdc++ -lm -pthread
ifneq ($(SAN),)
CFLAGS += -fsanitize=$(SAN) -fno-omit-frame-pointer
CXXFLAGS += -fsanitize=$(SAN) -fno-omit-frame-pointer
LDFLAGS += -fsanitize=$(SAN)
endif
# Concurrency Kit uses compiler builtins here, since the thread sanitizer doesn't see memory accesses of inline assembly.
ifeq ($(SAN),thread)
CPPFLAGS += -DCK_USE_CC_BUILTINS=1
endif

LIB_OBJS := $(patsubst %.c,$B/%.o,$(wildcard src/*.c ingress/*.c platform/*.c)) \
	$(patsubst src/%.cc,$B/src/%.o,$(wildcard src/*.cc))
BINS := $(patsubst bin/%.c,$B/%,$(wildcard bin/*.c)) \
	$(patsubst examples/%.c,$B/example-%,$(wildcard examples/*.c))
STANDIN_LIB_OBJS := $(patsubst standins/%.c,$B/standins/%.o,$(filter-out standins/standin-%.c,$(wildcard standins/*.c)))
STANDINS := $(patsubst standins/standin-%.c,$B/standin-%,$(wildcard standins/standin-*.c))
TEST_LIB_OBJS := $(patsubst tests/%.c,$B/tests/%.o,$(filter-out tests/test_%.c,$(wildcard tests/*.c)))
TESTS := $(patsubst tests/test_%.c,$B/test_%,$(wildcard tests/test_*.c))
C_SOURCES := $(wildcard src/*.c ingress/*.c platform/*.c bin/*.c standins/*.c bench/*.c tests/*.c tests/soak/*.c fuzz/*.c examples/*.c)
C_HEADERS := $(wildcard src/*.h ingress/*.h platform/*.h standins/*.h bench/*.h tests/*.h tests/soak/*.h)

BENCH_LIB_OBJS := $(patsubst bench/%.c,$B/bench/%.o,$(filter-out bench/peridot-load.c bench/naive-entry.c bench/feed-cost.c,$(wildcard bench/*.c)))
BENCH := $B/peridot-load $B/naive-entry $B/feed-cost

SOAK_OBJS := $(patsubst tests/soak/%.c,$B/tests/soak/%.o,$(wildcard tests/soak/*.c))

all: $(BINS) $(STANDINS) $(BENCH) $B/soak
tests: $(TESTS)

$B/%.o: %.c
	@mkdir -p $(@D)
	$(CC) $(CPPFLAGS) $(CFLAGS) -MMD -MP -c $< -o $@

$B/%.o: %.cc
	@mkdir -p $(@D)
	$(CXX) $(CPPFLAGS) $(CXXFLAGS) -MMD -MP -c $< -o $@

$B/libperidot.a: $(LIB_OBJS)
	@rm -f $@
	ar rcs $@ $^

$(patsubst bin/%.c,$B/%,$(wildcard bin/*.c)): $B/%: $B/bin/%.o $B/libperidot.a
	$(CC) $(LDFLAGS) $< $B/libperidot.a $(LDLIBS) -o $@

$B/peridotctl: LDLIBS += -lreadline

$(patsubst examples/%.c,$B/example-%,$(wildcard examples/*.c)): $B/example-%: $B/examples/%.o $B/libperidot.a
	$(CC) $(LDFLAGS) $< $B/libperidot.a $(LDLIBS) -o $@

$(STANDINS): $B/%: $B/standins/%.o $(STANDIN_LIB_OBJS) $B/libperidot.a
	$(CC) $(LDFLAGS) $< $(STANDIN_LIB_OBJS) $B/libperidot.a $(LDLIBS) -o $@

$(BENCH): $B/%: $B/bench/%.o $(BENCH_LIB_OBJS) $B/standins/draw.o $B/libperidot.a
	$(CC) $(LDFLAGS) $< $(BENCH_LIB_OBJS) $B/standins/draw.o $B/libperidot.a $(LDLIBS) -o $@

$(TESTS): $B/test_%: $B/tests/test_%.o $(TEST_LIB_OBJS) $B/standins/platform_store.o $B/libperidot.a
	$(CC) $(LDFLAGS) $< $(TEST_LIB_OBJS) $B/standins/platform_store.o $B/libperidot.a -lcheck -lsubunit $(LDLIBS) -lrt -o $@

$B/soak: $(SOAK_OBJS) $(addprefix $B/standins/,platform_store.o platform_upstream.o pump.o) $B/libperidot.a
	$(CC) $(LDFLAGS) $^ $(LDLIBS) -o $@

# libFuzzer needs clang; each file in fuzz/ is one fuzzer.
FUZZERS := $(patsubst fuzz/%.c,build/fuzz/%,$(wildcard fuzz/*.c))
fuzzers: $(FUZZERS)
build/fuzz/%: fuzz/%.c $(wildcard src/*.c src/*.h ingress/*.c ingress/*.h platform/*.c platform/*.h) $B/libperidot.a
	@mkdir -p $(@D)
	clang $(CPPFLAGS) -std=gnu11 -O1 -g -pthread -fsanitize=fuzzer,address $< $(wildcard src/*.c ingress/*.c platform/*.c) \
		$(patsubst src/%.cc,build/release/src/%.o,$(wildcard src/*.cc)) $(LDLIBS) -o $@

format:
	clang-format -i $(C_SOURCES) $(C_HEADERS)

format-check:
	clang-format --dry-run -Werror $(C_SOURCES) $(C_HEADERS)

# One clang-tidy process per file, so that make can run them in parallel; the stamp file avoids linting an unchanged file
# again.
LINT_STAMPS := $(patsubst %.c,build/lint/%.ok,$(C_SOURCES))
lint: $(LINT_STAMPS)
build/lint/%.ok: %.c .clang-tidy $(C_HEADERS)
	@mkdir -p $(@D)
	clang-tidy --quiet $< -- $(CPPFLAGS) -Itests -Istandins -std=gnu11 2>build/lint/stderr.$(notdir $<) || \
		{ cat build/lint/stderr.$(notdir $<); false; }
	@touch $@

clean:
	rm -rf build

.PHONY: all tests fuzzers format format-check lint clean
.SECONDARY:
-include $(LIB_OBJS:.o=.d) $(wildcard $B/*/*.d $B/*/*/*.d)
