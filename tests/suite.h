/**
 * DOC: Runner for the unit tests of one file
 */
#ifndef TEST_SUITE_H
#define TEST_SUITE_H

#include <check.h>
#include <stddef.h>

/* Runs @tests in order, with @setup before and @teardown after each test unless they are NULL;
 * returns the exit status for the program. */
int suite_run_with(const char *name, SFun setup, SFun teardown, const TTest *const *tests,
		   size_t count);
/* Runs @tests in order; returns the exit status for the program. */
int suite_run(const char *name, const TTest *const *tests, size_t count);

#endif
