#ifndef WL_NAMED_H
#define WL_NAMED_H

#include <libwlbase/str.h>

/* Look-up in tables whose rows have their name, a const char *, as the first member. */

const void *wl_named_find(const void *rows, size_t count, size_t row_bytes, wl_str_t name);

/* wl_named_find() in an array. */
#define WL_NAMED_FIND(table, name) \
	wl_named_find((table), sizeof(table) / sizeof((table)[0]), sizeof((table)[0]), (name))

#endif
