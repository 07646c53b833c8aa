/* JSON form of structs that a schema describes. */

#include "record.h"

#include <stdlib.h>
#include <string.h>

#include <jansson.h>

#include "record_internal.h"

#define PATH_BYTES 128
/* 2^53: a double does not represent every whole number above it. */
#define MAX_EXACT_REAL 9007199254740992.0

/* Position in the input; converted to text, "plans[3].weight", only for an error message. */
typedef struct path {
	const struct path *parent;
	const char *name; /* NULL: an item of a list, at index */
	size_t index;
} path_t;

typedef struct path_text {
	char at[PATH_BYTES];
} path_text_t;

static path_text_t path_text(const path_t *path)
{
	path_text_t text = {""};
	path_text_t before;

	if (!path)
		return text;
	before = path_text(path->parent);
	if (path->name)
		snprintf(text.at, sizeof(text.at), "%.80s%s%.40s", before.at,
			 before.at[0] ? "." : "", path->name);
	else
		snprintf(text.at, sizeof(text.at), "%.100s[%zu]", before.at, path->index);
	return text;
}

static json_t *json_of(const wl_schema_t *schema, const void *record, bool sparse);

static json_t *json_text(const wl_buf_t *buf)
{
	json_t *text = json_stringn(buf->at ? buf->at : "", buf->len);

	/* JSON strings must be UTF-8; other bytes are written as null. */
	return text ? text : json_null();
}

static json_t *json_of_list(const wl_field_t *field, const wl_list_t *list, bool sparse)
{
	json_t *array = json_array();
	const wl_buf_t *strings = list->items;

	for (size_t i = 0; i < list->count; i++) {
		if (field->kind == WL_FIELD_STRINGS)
			json_array_append_new(array, json_text(&strings[i]));
		else
			json_array_append_new(
				array, json_of(field->schema,
					       (const char *)list->items + i * field->schema->size,
					       sparse));
	}
	return array;
}

#define MILLIS 1000

static json_t *json_of_millis(uint64_t millis)
{
	if (millis % MILLIS == 0)
		return json_integer((json_int_t)(millis / MILLIS));
	return json_real((double)millis / MILLIS);
}

static json_t *json_of_bits(uint64_t bits)
{
	json_t *array = json_array();

	for (unsigned int bit = 0; bit < 64; bit++)
		if (bits >> bit & 1)
			json_array_append_new(array, json_integer(bit));
	return array;
}

static json_t *json_of_field(const wl_field_t *field, const void *at, bool sparse)
{
	switch (field->kind) {
	case WL_FIELD_U64:
		return json_integer((json_int_t)(*(const uint64_t *)at & INT64_MAX));
	case WL_FIELD_BOOL:
		return json_boolean(*(const bool *)at);
	case WL_FIELD_BYTES:
		return json_text(at);
	case WL_FIELD_ENUM:
		return json_string(field->names[*(const uint64_t *)at]);
	case WL_FIELD_RECORD:
		return json_of(field->schema, at, sparse);
	case WL_FIELD_LIST:
	case WL_FIELD_STRINGS:
		return json_of_list(field, at, sparse);
	case WL_FIELD_MILLIS:
		return json_of_millis(*(const uint64_t *)at);
	case WL_FIELD_BITS:
		return json_of_bits(*(const uint64_t *)at);
	}
	return json_null();
}

/* Whether the field is read as the same value if the JSON text omits it. */
static bool field_zero(const wl_field_t *field, const void *at)
{
	switch (field->kind) {
	case WL_FIELD_U64:
	case WL_FIELD_ENUM:
	case WL_FIELD_MILLIS:
	case WL_FIELD_BITS:
		return *(const uint64_t *)at == 0;
	case WL_FIELD_BOOL:
		return !*(const bool *)at;
	case WL_FIELD_BYTES:
		return ((const wl_buf_t *)at)->len == 0;
	case WL_FIELD_RECORD:
		return false;
	case WL_FIELD_LIST:
	case WL_FIELD_STRINGS:
		return ((const wl_list_t *)at)->count == 0;
	}
	return false;
}

static json_t *json_of_row(const wl_schema_t *schema, const void *record, bool sparse)
{
	json_t *row = json_array();

	for (size_t i = 0; i < schema->count; i++)
		json_array_append_new(
			row, json_of_field(&schema->fields[i],
					   wl_record_field(record, &schema->fields[i]), sparse));
	return row;
}

static json_t *json_of(const wl_schema_t *schema, const void *record, bool sparse)
{
	json_t *object;

	if (schema->row)
		return json_of_row(schema, record, sparse);
	object = json_object();

	for (size_t i = 0; i < schema->count; i++) {
		const wl_field_t *field = &schema->fields[i];
		const void *at = wl_record_field(record, field);

		if (!sparse || field->required || !field_zero(field, at))
			json_object_set_new(object, field->name, json_of_field(field, at, sparse));
	}
	return object;
}

static void json_write(json_t *json, wl_buf_t *out)
{
	char *text = json_dumps(json, JSON_COMPACT);

	wl_buf_append(out, wl_str_from(text));
	free(text);
	json_decref(json);
}

/*
 * wl_record_to_json - append the JSON form of a struct, on one line, to a buffer
 */
void wl_record_to_json(const wl_schema_t *schema, const void *record, wl_buf_t *out)
{
	json_write(json_of(schema, record, false), out);
}

/*
 * wl_record_to_json_sparse - append the JSON form of a struct without empty fields
 *
 * Omits fields that are zero or empty, unless they are required.
 * wl_record_from_json() reads the same struct from the text.
 */
void wl_record_to_json_sparse(const wl_schema_t *schema, const void *record, wl_buf_t *out)
{
	json_write(json_of(schema, record, true), out);
}

static bool read_object(const wl_schema_t *schema, const json_t *json, const path_t *path,
			void *record, wl_err_t *err);

/* Describes a value for an error message; of lists and objects only what they are. */
static path_text_t found_text(const json_t *json)
{
	path_text_t text = {"null"};

	switch (json_typeof(json)) {
	case JSON_OBJECT:
		snprintf(text.at, sizeof(text.at), "an object");
		break;
	case JSON_ARRAY:
		snprintf(text.at, sizeof(text.at), "a list");
		break;
	case JSON_STRING:
		snprintf(text.at, sizeof(text.at), "\"%.40s\"", json_string_value(json));
		/* a character that is cut off is no text any more */
		for (char *at = text.at; *at; at++)
			if ((unsigned char)*at >= 0x80)
				*at = '?';
		break;
	case JSON_INTEGER:
		snprintf(text.at, sizeof(text.at), "%lld", (long long)json_integer_value(json));
		break;
	case JSON_REAL:
		snprintf(text.at, sizeof(text.at), "%.17g", json_real_value(json));
		break;
	case JSON_TRUE:
	case JSON_FALSE:
		snprintf(text.at, sizeof(text.at), "%s", json_is_true(json) ? "true" : "false");
		break;
	case JSON_NULL:
		break;
	}
	return text;
}

static bool value_error(const path_t *path, const char *want, const json_t *json, wl_err_t *err)
{
	return wl_err_set(err, WL_E_BAD_INPUT, WL_NOT_RUN, "%s: must be %s, not %s",
			  path_text(path).at, want, found_text(json).at);
}

static bool read_text(const wl_field_t *field, const json_t *json, const path_t *path, wl_buf_t *to,
		      wl_err_t *err)
{
	wl_str_t text;

	if (!json_is_string(json))
		return value_error(path, "a string", json, err);
	text = (wl_str_t){json_string_value(json), json_string_length(json)};
	if (text.len > wl_field_max(field))
		return wl_err_set(err, WL_E_BAD_INPUT, WL_NOT_RUN,
				  "%s: must be at most %llu bytes, not %zu", path_text(path).at,
				  (unsigned long long)wl_field_max(field), text.len);
	if (field->required && text.len == 0)
		return value_error(path, "a non-empty string", json, err);
	wl_buf_set(to, text);
	return true;
}

static bool read_number(const wl_field_t *field, const json_t *json, const path_t *path,
			uint64_t *to, wl_err_t *err)
{
	double real = json_is_real(json) ? json_real_value(json) : 0;
	json_int_t number = json_is_real(json) ? (json_int_t)real : json_integer_value(json);

	/* Accepts whole reals such as 250.0; the limit keeps the conversion to integer defined. */
	if (!json_is_number(json) || real < 0 || real > MAX_EXACT_REAL || number < 0 ||
	    (json_is_real(json) && (double)number != real))
		return value_error(path, "a whole number from 0 on", json, err);
	if ((uint64_t)number > wl_field_max(field))
		return wl_err_set(err, WL_E_BAD_INPUT, WL_NOT_RUN,
				  "%s: must be at most %llu, not %lld", path_text(path).at,
				  (unsigned long long)wl_field_max(field), (long long)number);
	*to = (uint64_t)number;
	return true;
}

static bool read_millis(const wl_field_t *field, const json_t *json, const path_t *path,
			uint64_t *to, wl_err_t *err)
{
	double number = json_number_value(json);

	if (!json_is_number(json) || number < 0)
		return value_error(path, "a number from 0 on", json, err);
	if (number * MILLIS > (double)(field->max ? field->max : INT64_MAX / 2))
		return value_error(path, "a smaller number", json, err);
	*to = (uint64_t)(number * MILLIS + 0.5);
	return true;
}

static bool read_bits(const json_t *json, const path_t *path, uint64_t *to, wl_err_t *err)
{
	*to = 0;
	if (!json_is_array(json))
		return value_error(path, "a list", json, err);
	for (size_t i = 0; i < json_array_size(json); i++) {
		const json_t *item = json_array_get(json, i);

		if (!json_is_integer(item) || json_integer_value(item) < 0 ||
		    json_integer_value(item) > 63)
			return value_error(path, "a list of whole numbers from 0 to 63", json, err);
		*to |= UINT64_C(1) << json_integer_value(item);
	}
	return true;
}

static bool read_enum(const wl_field_t *field, const json_t *json, const path_t *path, uint64_t *to,
		      wl_err_t *err)
{
	wl_buf_t known = {0};

	for (size_t i = 0; field->names[i]; i++) {
		if (json_is_string(json) && strcmp(field->names[i], json_string_value(json)) == 0) {
			*to = i;
			wl_buf_free(&known);
			return true;
		}
		wl_buf_printf(&known, "%s%s", i ? ", " : "", field->names[i]);
	}
	wl_err_set(err, WL_E_BAD_INPUT, WL_NOT_RUN, "%s: must be one of %s, not %s",
		   path_text(path).at, known.at, found_text(json).at);
	wl_buf_free(&known);
	return false;
}

static bool read_member(const wl_field_t *field, const json_t *value, const path_t *path,
			void *record, wl_err_t *err);

static const json_t *member_find(const wl_schema_t *schema, const json_t *json, size_t number)
{
	return schema->row ? json_array_get(json, number)
			   : json_object_get(json, schema->fields[number].name);
}

/*
 * Reads as much of an item as is valid: the rest stays zero, so that one item does not hide the
 * others. Returns the first error.
 */
static void read_lenient(const wl_schema_t *schema, const json_t *json, const path_t *path,
			 void *record, wl_err_t *err)
{
	wl_err_t found = {0};

	if (schema->row ? !json_is_array(json) : !json_is_object(json))
		value_error(path, schema->row ? "a list" : "an object", json, &found);
	for (size_t i = 0; i < schema->count; i++) {
		const wl_field_t *field = &schema->fields[i];
		wl_err_t of_member = {0};

		if (read_member(field, member_find(schema, json, i), path, record, &of_member))
			continue;
		wl_field_free(field, record);
		if (found.code == WL_OK)
			found = of_member;
	}
	if (err && err->code == WL_OK)
		*err = found;
}

static bool read_list(const wl_field_t *field, const json_t *json, const path_t *path,
		      wl_list_t *to, wl_err_t *err)
{
	static const wl_field_t string_field = {.name = "", .kind = WL_FIELD_BYTES, .max = 4096};
	const wl_schema_t *schema = wl_field_items(field);

	if (!json_is_array(json))
		return value_error(path, "a list", json, err);
	if (json_array_size(json) > wl_field_max(field))
		return wl_err_set(err, WL_E_BAD_INPUT, WL_NOT_RUN,
				  "%s: must be at most %llu items, not %zu", path_text(path).at,
				  (unsigned long long)wl_field_max(field), json_array_size(json));
	for (size_t i = 0; i < json_array_size(json); i++) {
		const json_t *item = json_array_get(json, i);
		path_t at = {path, NULL, i};
		void *record = wl_list_add(schema, to);
		bool ok = true;

		if (field->lenient)
			read_lenient(schema, item, &at, record, err);
		else if (field->kind == WL_FIELD_STRINGS)
			ok = read_text(&string_field, item, &at, record, err);
		else
			ok = read_object(schema, item, &at, record, err);
		if (!ok)
			return false;
	}
	return true;
}

static bool read_field(const wl_field_t *field, const json_t *json, const path_t *path, void *to,
		       wl_err_t *err)
{
	switch (field->kind) {
	case WL_FIELD_U64:
		return read_number(field, json, path, to, err);
	case WL_FIELD_BOOL:
		if (!json_is_boolean(json))
			return value_error(path, "true or false", json, err);
		*(bool *)to = json_is_true(json);
		return true;
	case WL_FIELD_BYTES:
		return read_text(field, json, path, to, err);
	case WL_FIELD_ENUM:
		return read_enum(field, json, path, to, err);
	case WL_FIELD_RECORD:
		return read_object(field->schema, json, path, to, err);
	case WL_FIELD_LIST:
	case WL_FIELD_STRINGS:
		return read_list(field, json, path, to, err);
	case WL_FIELD_MILLIS:
		return read_millis(field, json, path, to, err);
	case WL_FIELD_BITS:
		return read_bits(json, path, to, err);
	}
	return value_error(path, "of a known kind", json, err);
}

static bool known_keys(const wl_schema_t *schema, const json_t *json, const path_t *path,
		       wl_err_t *err)
{
	const char *key;
	json_t *value;

	json_object_foreach((json_t *)json, key, value)
	{
		bool known = false;

		for (size_t i = 0; i < schema->count && !known; i++)
			known = strcmp(schema->fields[i].name, key) == 0;
		if (!known) {
			path_t at = {path, key, 0};

			return wl_err_set(err, WL_E_BAD_INPUT, WL_NOT_RUN, "%s: unknown field",
					  path_text(&at).at);
		}
	}
	return true;
}

/* @value: NULL if the member is missing from the input */
static bool read_member(const wl_field_t *field, const json_t *value, const path_t *path,
			void *record, wl_err_t *err)
{
	path_t at = {path, field->name, 0};

	if (!value)
		return !field->required || wl_err_set(err, WL_E_BAD_INPUT, WL_NOT_RUN,
						      "%s: missing", path_text(&at).at);
	return read_field(field, value, &at, (char *)record + field->offset, err);
}

static bool read_row(const wl_schema_t *schema, const json_t *json, const path_t *path,
		     void *record, wl_err_t *err)
{
	if (!json_is_array(json))
		return value_error(path, "a list", json, err);
	for (size_t i = 0; i < schema->count; i++)
		if (!read_member(&schema->fields[i], member_find(schema, json, i), path, record,
				 err))
			return false;
	return true;
}

static bool read_object(const wl_schema_t *schema, const json_t *json, const path_t *path,
			void *record, wl_err_t *err)
{
	if (schema->row)
		return read_row(schema, json, path, record, err);
	if (!json_is_object(json))
		return value_error(path, "an object", json, err);
	if (!schema->open && !known_keys(schema, json, path, err))
		return false;
	for (size_t i = 0; i < schema->count; i++)
		if (!read_member(&schema->fields[i], member_find(schema, json, i), path, record,
				 err))
			return false;
	return true;
}

/*
 * wl_record_from_json - read a struct from its JSON form
 * @text: one JSON object; missing required fields are errors, and unknown fields
 *        are too unless the schema is open
 * @record: overwritten without release; zeroed after a failure
 * @err: WL_E_BAD_INPUT, with the path of the invalid field; after a success set only if
 *       something in a lenient list is invalid, otherwise cleared
 */
bool wl_record_from_json(const wl_schema_t *schema, wl_str_t text, void *record, wl_err_t *err)
{
	json_error_t at;
	json_t *json = json_loadb(text.len ? text.at : "", text.len, JSON_REJECT_DUPLICATES, &at);
	bool ok;

	memset(record, 0, schema->size);
	if (err)
		wl_err_clear(err);
	if (!json)
		return wl_err_set(err, WL_E_BAD_INPUT, WL_NOT_RUN, "JSON, line %d: %.160s", at.line,
				  at.text);
	if (!json_is_object(json))
		ok = wl_err_set(err, WL_E_BAD_INPUT, WL_NOT_RUN, "JSON: must be an object");
	else
		ok = read_object(schema, json, NULL, record, err);
	json_decref(json);
	if (!ok)
		wl_record_free(schema, record);
	return ok;
}
