#ifndef WL_RECORD_INTERNAL_H
#define WL_RECORD_INTERNAL_H

#include "record.h"

extern const wl_schema_t wl_string_schema;

const void *wl_record_field(const void *record, const wl_field_t *field);
uint64_t wl_field_max(const wl_field_t *field);
const wl_schema_t *wl_field_items(const wl_field_t *field);

#endif
