#include "suite.h"

#include <stdlib.h>

#define TIMEOUT_S 30

int suite_run(const char *name, const TTest *const *tests, size_t count)
{
	return suite_run_with(name, NULL, NULL, tests, count);
}

int suite_run_with(const char *name, SFun setup, SFun teardown, const TTest *const *tests,
		   size_t count)
{
	Suite *suite = suite_create(name);
	TCase *tcase = tcase_create(name);
	SRunner *runner;
	int failed;

	tcase_set_timeout(tcase, TIMEOUT_S);
	if (setup)
		tcase_add_checked_fixture(tcase, setup, teardown);
	for (size_t i = 0; i < count; i++)
		tcase_add_test(tcase, tests[i]);
	suite_add_tcase(suite, tcase);
	runner = srunner_create(suite);
	srunner_run_all(runner, CK_NORMAL);
	failed = srunner_ntests_failed(runner);
	srunner_free(runner);
	return failed ? EXIT_FAILURE : EXIT_SUCCESS;
}
