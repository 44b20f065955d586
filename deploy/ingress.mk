# Builds target/peridot-ingress from only the sources and libraries that it needs.

CC := gcc
CPPFLAGS := -D_GNU_SOURCE -Isrc -Iingress -Iplatform
WARN := -Wall -Wextra -Werror -Wshadow -Wstrict-prototypes -Wmissing-prototypes -Wvla
CFLAGS := -std=gnu11 -O2 -g -pthread $(WARN)
LDLIBS := -Wl,--as-needed -lhttp_parser -ljansson -lsodium -lxxhash -lz -lmsgpackc -lm -pthread

BASE := str error log counters os msgpack_check
SOURCES := $(wildcard ingress/*.c platform/*.c) $(BASE:%=src/%.c) bin/peridot-ingress.c
OBJECTS := $(SOURCES:%.c=target/obj/%.o)

target/peridot-ingress: $(OBJECTS)
	$(CC) $(LDFLAGS) $^ $(LDLIBS) -o $@

target/obj/%.o: %.c
	@mkdir -p $(@D)
	$(CC) $(CPPFLAGS) $(CFLAGS) -MMD -MP -c $< -o $@

-include $(OBJECTS:.o=.d)
