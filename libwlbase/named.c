/* Look-up of table rows by name. */

#include "named.h"

/*
 * wl_named_find - find a row by its name
 * @rows: the table; the first member of a row is its name, a const char *
 * @count: number of rows
 * @row_bytes: size of a row, bytes
 *
 * Return: the row, or NULL if none has the name.
 */
const void *wl_named_find(const void *rows, size_t count, size_t row_bytes, wl_str_t name)
{
	const char *row = rows;

	for (size_t i = 0; i < count; i++, row += row_bytes)
		if (wl_str_equal(wl_str_from(*(const char *const *)row), name))
			return row;
	return NULL;
}
