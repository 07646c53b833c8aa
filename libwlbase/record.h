#ifndef WL_RECORD_H
#define WL_RECORD_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include <libwlbase/err.h>
#include <libwlbase/str.h>

/*
 * A schema describes the fields of a struct.  Release, copy, the msgpack form
 * (peer link, log, snapshot) and the JSON form (callers, targets, operators) of
 * the struct all follow from it.
 */

typedef enum wl_field_kind {
	WL_FIELD_U64,	  /* uint64_t */
	WL_FIELD_BOOL,	  /* bool */
	WL_FIELD_BYTES,	  /* wl_buf_t; text in JSON */
	WL_FIELD_ENUM,	  /* uint64_t, an index into names */
	WL_FIELD_RECORD,  /* a nested struct */
	WL_FIELD_LIST,	  /* wl_list_t of structs */
	WL_FIELD_STRINGS, /* wl_list_t of wl_buf_t */
	WL_FIELD_MILLIS,  /* uint64_t, thousandths; a decimal number in JSON */
	WL_FIELD_BITS,	  /* uint64_t; in JSON a list of the numbers of the set bits */
} wl_field_kind_t;

struct wl_schema;

typedef struct wl_field {
	const char *name;
	wl_field_kind_t kind;
	size_t offset;
	const struct wl_schema *schema; /* RECORD, LIST: schema of the struct or of the items */
	const char *const *names;	/* ENUM: NULL-terminated */
	bool required;			/* must be present in JSON input */
	uint64_t max;			/* largest number, bytes or items; 0: the default limit */
	bool lenient; /* LIST, in JSON: invalid members of items count as missing */
} wl_field_t;

typedef struct wl_schema {
	const char *name;
	size_t size;
	const wl_field_t *fields;
	size_t count;
	bool open; /* JSON: unknown fields are ignored */
	bool row;  /* JSON: an array of the fields in order; optional last ones may be missing */
} wl_schema_t;

/* A growable array of structs of one schema.  A zeroed struct is an empty list. */
typedef struct wl_list {
	void *items;
	size_t count;
	size_t capacity;
} wl_list_t;

#define WL_FIELD(type, member, field_kind)                                              \
	{                                                                               \
		.name = #member, .kind = (field_kind), .offset = offsetof(type, member) \
	}
#define WL_FIELD_REQUIRED(type, member, field_kind, limit)                               \
	{                                                                                \
		.name = #member, .kind = (field_kind), .offset = offsetof(type, member), \
		.required = true, .max = (limit)                                         \
	}
#define WL_FIELD_NAMES(type, member, table)                                               \
	{                                                                                 \
		.name = #member, .kind = WL_FIELD_ENUM, .offset = offsetof(type, member), \
		.names = (table)                                                          \
	}
#define WL_FIELD_NEST(type, member, nested)                                                 \
	{                                                                                   \
		.name = #member, .kind = WL_FIELD_RECORD, .offset = offsetof(type, member), \
		.schema = (nested)                                                          \
	}
#define WL_FIELD_MANY(type, member, nested)                                               \
	{                                                                                 \
		.name = #member, .kind = WL_FIELD_LIST, .offset = offsetof(type, member), \
		.schema = (nested)                                                        \
	}
/* For a field whose outer name differs from the name of the member. */
#define WL_FIELD_AS(text, type, member, field_kind)                                    \
	{                                                                              \
		.name = (text), .kind = (field_kind), .offset = offsetof(type, member) \
	}
#define WL_FIELD_REQUIRED_AS(text, type, member, field_kind, limit)                     \
	{                                                                               \
		.name = (text), .kind = (field_kind), .offset = offsetof(type, member), \
		.required = true, .max = (limit)                                        \
	}
#define WL_FIELD_MANY_AS(text, type, member, nested)                                     \
	{                                                                                \
		.name = (text), .kind = WL_FIELD_LIST, .offset = offsetof(type, member), \
		.schema = (nested)                                                       \
	}
#define WL_SCHEMA_OPEN(type, table)                                       \
	{                                                                 \
		.name = #type, .size = sizeof(type), .fields = (table),   \
		.count = sizeof(table) / sizeof((table)[0]), .open = true \
	}
#define WL_SCHEMA_ROW(type, table)                                       \
	{                                                                \
		.name = #type, .size = sizeof(type), .fields = (table),  \
		.count = sizeof(table) / sizeof((table)[0]), .row = true \
	}
#define WL_SCHEMA(type, table)                                          \
	{                                                               \
		.name = #type, .size = sizeof(type), .fields = (table), \
		.count = sizeof(table) / sizeof((table)[0])             \
	}

void wl_record_free(const wl_schema_t *schema, void *record);
void wl_record_copy(const wl_schema_t *schema, void *to, const void *from);
void wl_record_pack(const wl_schema_t *schema, const void *record, wl_buf_t *out);
bool wl_record_unpack(const wl_schema_t *schema, wl_str_t bytes, void *record, wl_err_t *err);
void wl_record_to_json_sparse(const wl_schema_t *schema, const void *record, wl_buf_t *out);
void wl_record_to_json(const wl_schema_t *schema, const void *record, wl_buf_t *out);
bool wl_record_from_json(const wl_schema_t *schema, wl_str_t text, void *record, wl_err_t *err);

void *wl_list_add(const wl_schema_t *schema, wl_list_t *list);
void wl_list_free(const wl_schema_t *schema, wl_list_t *list);
void wl_strings_add(wl_list_t *list, wl_str_t s);
void wl_strings_free(wl_list_t *list);
void wl_strings_set(wl_list_t *list, const wl_list_t *from);
bool wl_strings_equal(const wl_list_t *a, const wl_list_t *b);
bool wl_strings_contain(const wl_list_t *list, wl_str_t s);

#endif
