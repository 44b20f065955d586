/**
 * DOC: Checks that accounts run at most as many requests as their quotas allow
 */
#ifndef SOAK_QUOTAS_H
#define SOAK_QUOTAS_H

#include <stdint.h>

/* Bound of the number of requests in a window, as in the instances' settings. */
#define QUOTA_WINDOW_S 5
#define QUOTA_OVERAGE  0.1
#define QUOTA_SLACK    20

/* Records that request @number of the limited account @key began to run, and checks its window. */
void quotas_record_locked(long number, uint32_t key, int64_t now_us);
/* Prints how far the bound was used. */
void quotas_print(void);

#endif
