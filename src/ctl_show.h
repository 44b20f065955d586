/**
 * DOC: Prints the configuration and its log as text, for peridotctl
 */
#ifndef PD_CTL_SHOW_H
#define PD_CTL_SHOW_H

#include "config_log.h"

/* Appends the part of the configuration that @show selects: a table of one type of object, or all
 * objects as commands. Appends nothing for PD_SHOW_LOG and PD_SHOW_STATUS. */
void pd_ctl_show_config(const struct pd_config *config, enum pd_show show, struct pd_buf *out);

#define PD_CTL_LOG_ENTRIES_MAX 50

/* Appends up to PD_CTL_LOG_ENTRIES_MAX log entries, oldest first; entry @last comes last. Returns
 * the errors of pd_config_entry_read(). */
enum pd_code pd_ctl_show_log(struct pd_platform *platform, uint64_t last, struct pd_buf *out,
			     struct pd_error *err);

#endif
