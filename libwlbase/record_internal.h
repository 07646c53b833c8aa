#ifndef WL_RECORD_INTERNAL_H
#define WL_RECORD_INTERNAL_H

#include "record.h"

extern const wl_schema_t wl_string_schema;

/* Returns the member of a struct that a field describes. */
const void *wl_record_field(const void *record, const wl_field_t *field);
/* Releases a member of a struct and zeroes it. */
void wl_field_free(const wl_field_t *field, void *record);
/* Returns the largest number, bytes or items of a field, with the default limit applied. */
uint64_t wl_field_max(const wl_field_t *field);
/* Returns the schema of the items of a list or of a list of strings. */
const wl_schema_t *wl_field_items(const wl_field_t *field);

#endif
