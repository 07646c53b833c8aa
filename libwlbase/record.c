/*
 * Release, copy and msgpack form of structs that a schema describes.  The msgpack
 * form of a struct is an array of its fields in the order of the schema.
 */

#include "record.h"

#include <stdlib.h>
#include <string.h>

#include <msgpack.h>

#include "record_internal.h"

#define LIST_MIN_CAPACITY 4
#define MAX_DEPTH	  12
#define MAX_LIST_DEFAULT  1000000

static void *field_at(void *record, const wl_field_t *field)
{
	return (char *)record + field->offset;
}

const void *wl_record_field(const void *record, const wl_field_t *field)
{
	return (const char *)record + field->offset;
}

uint64_t wl_field_max(const wl_field_t *field)
{
	if (field->max)
		return field->max;
	if (field->kind == WL_FIELD_U64 || field->kind == WL_FIELD_MILLIS ||
	    field->kind == WL_FIELD_BITS)
		return UINT64_MAX;
	return field->kind == WL_FIELD_BYTES ? UINT32_MAX : MAX_LIST_DEFAULT;
}

/*
 * wl_list_add - append a zeroed struct to a list
 * @schema: schema of the items
 *
 * Return: the new struct, valid until the list grows again.
 */
void *wl_list_add(const wl_schema_t *schema, wl_list_t *list)
{
	char *item;

	if (list->count == list->capacity) {
		list->capacity = list->capacity ? 2 * list->capacity : LIST_MIN_CAPACITY;
		list->items = wl_realloc(list->items, list->capacity * schema->size);
	}
	item = (char *)list->items + list->count * schema->size;
	memset(item, 0, schema->size);
	list->count++;
	return item;
}

/*
 * wl_list_free - release the structs and the memory of a list, which is then empty
 */
void wl_list_free(const wl_schema_t *schema, wl_list_t *list)
{
	for (size_t i = 0; i < list->count; i++)
		wl_record_free(schema, (char *)list->items + i * schema->size);
	free(list->items);
	*list = (wl_list_t){0};
}

static const wl_field_t string_fields[] = {
	{.name = "value", .kind = WL_FIELD_BYTES, .offset = 0},
};

const wl_schema_t wl_string_schema = {
	.name = "string", .size = sizeof(wl_buf_t), .fields = string_fields, .count = 1};

/*
 * wl_strings_add - append a copy of a string to a list of strings
 */
void wl_strings_add(wl_list_t *list, wl_str_t s)
{
	wl_buf_set(wl_list_add(&wl_string_schema, list), s);
}

/*
 * wl_strings_free - release a list of strings and make it empty
 */
void wl_strings_free(wl_list_t *list)
{
	wl_list_free(&wl_string_schema, list);
}

/*
 * wl_strings_contain - check whether a list of strings contains a string
 */
bool wl_strings_contain(const wl_list_t *list, wl_str_t s)
{
	const wl_buf_t *items = list->items;

	for (size_t i = 0; i < list->count; i++)
		if (wl_str_equal(wl_buf_str(&items[i]), s))
			return true;
	return false;
}

/*
 * wl_strings_set - replace a list of strings with a copy of another
 */
void wl_strings_set(wl_list_t *list, const wl_list_t *from)
{
	const wl_buf_t *items = from->items;

	wl_strings_free(list);
	for (size_t i = 0; i < from->count; i++)
		wl_strings_add(list, wl_buf_str(&items[i]));
}

/*
 * wl_strings_equal - check whether two lists hold the same strings in the same order
 */
bool wl_strings_equal(const wl_list_t *a, const wl_list_t *b)
{
	const wl_buf_t *x = a->items;
	const wl_buf_t *y = b->items;

	if (a->count != b->count)
		return false;
	for (size_t i = 0; i < a->count; i++)
		if (!wl_str_equal(wl_buf_str(&x[i]), wl_buf_str(&y[i])))
			return false;
	return true;
}

const wl_schema_t *wl_field_items(const wl_field_t *field)
{
	return field->kind == WL_FIELD_STRINGS ? &wl_string_schema : field->schema;
}

void wl_field_free(const wl_field_t *field, void *record)
{
	switch (field->kind) {
	case WL_FIELD_U64:
	case WL_FIELD_ENUM:
	case WL_FIELD_MILLIS:
	case WL_FIELD_BITS:
		*(uint64_t *)field_at(record, field) = 0;
		break;
	case WL_FIELD_BOOL:
		*(bool *)field_at(record, field) = false;
		break;
	case WL_FIELD_BYTES:
		wl_buf_free(field_at(record, field));
		break;
	case WL_FIELD_RECORD:
		wl_record_free(field->schema, field_at(record, field));
		break;
	case WL_FIELD_LIST:
	case WL_FIELD_STRINGS:
		wl_list_free(wl_field_items(field), field_at(record, field));
		break;
	}
}

/*
 * wl_record_free - release the memory that a struct owns, and zero the struct
 */
void wl_record_free(const wl_schema_t *schema, void *record)
{
	for (size_t i = 0; i < schema->count; i++)
		wl_field_free(&schema->fields[i], record);
	memset(record, 0, schema->size);
}

static void list_copy(const wl_schema_t *schema, wl_list_t *to, const wl_list_t *from)
{
	for (size_t i = 0; i < from->count; i++)
		wl_record_copy(schema, wl_list_add(schema, to),
			       (const char *)from->items + i * schema->size);
}

/*
 * wl_record_copy - make a deep copy of a struct
 * @to: overwritten without release
 */
void wl_record_copy(const wl_schema_t *schema, void *to, const void *from)
{
	memset(to, 0, schema->size);
	for (size_t i = 0; i < schema->count; i++) {
		const wl_field_t *field = &schema->fields[i];
		const void *source = wl_record_field(from, field);

		switch (field->kind) {
		case WL_FIELD_U64:
		case WL_FIELD_ENUM:
		case WL_FIELD_MILLIS:
		case WL_FIELD_BITS:
			memcpy(field_at(to, field), source, sizeof(uint64_t));
			break;
		case WL_FIELD_BOOL:
			memcpy(field_at(to, field), source, sizeof(bool));
			break;
		case WL_FIELD_BYTES:
			wl_buf_set(field_at(to, field), wl_buf_str(source));
			break;
		case WL_FIELD_RECORD:
			wl_record_copy(field->schema, field_at(to, field), source);
			break;
		case WL_FIELD_LIST:
		case WL_FIELD_STRINGS:
			list_copy(wl_field_items(field), field_at(to, field), source);
			break;
		}
	}
}

static int buf_write(void *data, const char *bytes, size_t len)
{
	wl_buf_append(data, (wl_str_t){bytes, len});
	return 0;
}

static void pack_record(const wl_schema_t *schema, const void *record, msgpack_packer *packer);

static void pack_list(const wl_schema_t *schema, const wl_list_t *list, msgpack_packer *packer)
{
	msgpack_pack_array(packer, list->count);
	for (size_t i = 0; i < list->count; i++)
		pack_record(schema, (const char *)list->items + i * schema->size, packer);
}

static void pack_field(const wl_field_t *field, const void *at, msgpack_packer *packer)
{
	const wl_buf_t *buf = at;

	switch (field->kind) {
	case WL_FIELD_U64:
	case WL_FIELD_ENUM:
	case WL_FIELD_MILLIS:
	case WL_FIELD_BITS:
		msgpack_pack_uint64(packer, *(const uint64_t *)at);
		break;
	case WL_FIELD_BOOL:
		if (*(const bool *)at)
			msgpack_pack_true(packer);
		else
			msgpack_pack_false(packer);
		break;
	case WL_FIELD_BYTES:
		msgpack_pack_bin(packer, buf->len);
		msgpack_pack_bin_body(packer, buf->len ? buf->at : "", buf->len);
		break;
	case WL_FIELD_RECORD:
		pack_record(field->schema, at, packer);
		break;
	case WL_FIELD_LIST:
	case WL_FIELD_STRINGS:
		pack_list(wl_field_items(field), at, packer);
		break;
	}
}

static void pack_record(const wl_schema_t *schema, const void *record, msgpack_packer *packer)
{
	msgpack_pack_array(packer, schema->count);
	for (size_t i = 0; i < schema->count; i++)
		pack_field(&schema->fields[i], wl_record_field(record, &schema->fields[i]), packer);
}

/*
 * wl_record_pack - append the msgpack form of a struct to a buffer
 */
void wl_record_pack(const wl_schema_t *schema, const void *record, wl_buf_t *out)
{
	msgpack_packer packer;

	msgpack_packer_init(&packer, out, buf_write);
	pack_record(schema, record, &packer);
}

static bool unpack_record(const wl_schema_t *schema, const msgpack_object *object, void *record,
			  wl_err_t *err);

static bool unpack_error(const wl_field_t *field, wl_err_t *err)
{
	return wl_err_set(err, WL_E_BAD_INPUT, WL_NOT_RUN, "field %s: wrong type or size",
			  field->name);
}

static bool unpack_list(const wl_field_t *field, const msgpack_object *object, wl_list_t *list,
			wl_err_t *err)
{
	const wl_schema_t *schema = wl_field_items(field);

	if (object->type != MSGPACK_OBJECT_ARRAY || object->via.array.size > wl_field_max(field))
		return unpack_error(field, err);
	for (uint32_t i = 0; i < object->via.array.size; i++)
		if (!unpack_record(schema, &object->via.array.ptr[i], wl_list_add(schema, list),
				   err))
			return false;
	return true;
}

static size_t names_count(const char *const *names)
{
	size_t count = 0;

	while (names && names[count])
		count++;
	return count;
}

static bool unpack_number(const wl_field_t *field, const msgpack_object *object, uint64_t *number,
			  wl_err_t *err)
{
	uint64_t max = wl_field_max(field);

	if (field->kind == WL_FIELD_ENUM)
		max = names_count(field->names) - 1;
	if (object->type != MSGPACK_OBJECT_POSITIVE_INTEGER || object->via.u64 > max)
		return unpack_error(field, err);
	*number = object->via.u64;
	return true;
}

static bool unpack_field(const wl_field_t *field, const msgpack_object *object, void *at,
			 wl_err_t *err)
{
	switch (field->kind) {
	case WL_FIELD_U64:
	case WL_FIELD_ENUM:
	case WL_FIELD_MILLIS:
	case WL_FIELD_BITS:
		return unpack_number(field, object, at, err);
	case WL_FIELD_BOOL:
		if (object->type != MSGPACK_OBJECT_BOOLEAN)
			return unpack_error(field, err);
		*(bool *)at = object->via.boolean;
		return true;
	case WL_FIELD_BYTES:
		if (object->type != MSGPACK_OBJECT_BIN ||
		    object->via.bin.size > wl_field_max(field))
			return unpack_error(field, err);
		wl_buf_set(at, (wl_str_t){object->via.bin.ptr, object->via.bin.size});
		return true;
	case WL_FIELD_RECORD:
		return unpack_record(field->schema, object, at, err);
	case WL_FIELD_LIST:
	case WL_FIELD_STRINGS:
		return unpack_list(field, object, at, err);
	}
	return unpack_error(field, err);
}

/*
 * Sender and receiver may be of different versions, and fields are only added at
 * the end: fields missing from the input stay zero, and surplus ones are ignored.
 */
static bool unpack_record(const wl_schema_t *schema, const msgpack_object *object, void *record,
			  wl_err_t *err)
{
	size_t count;

	if (object->type != MSGPACK_OBJECT_ARRAY)
		return wl_err_set(err, WL_E_BAD_INPUT, WL_NOT_RUN, "%s: must be a msgpack array",
				  schema->name);
	count = object->via.array.size < schema->count ? object->via.array.size : schema->count;
	for (size_t i = 0; i < count; i++) {
		const wl_field_t *field = &schema->fields[i];

		if (!unpack_field(field, &object->via.array.ptr[i], field_at(record, field), err))
			return false;
	}
	return true;
}

/*
 * Gets the size in bytes of a msgpack value without nested items, and the number
 * of nested items that follow it.  Returns false for types that wl_record_pack()
 * never writes.
 */
static bool head_size(const unsigned char *at, size_t left, size_t *size, size_t *items)
{
	static const struct {
		unsigned char head;
		unsigned char len_bytes;
		bool array;
	} sized[] = {
		{0xc4, 1, false}, {0xc5, 2, false}, {0xc6, 4, false},
		{0xdc, 2, true},  {0xdd, 4, true},
	};
	size_t len = 0;

	*items = 0;
	*size = 1;
	if (at[0] < 0x80 || at[0] == 0xc2 || at[0] == 0xc3)
		return true;
	if (at[0] >= 0xcc && at[0] <= 0xcf) {
		*size = 1 + ((size_t)1 << (at[0] - 0xcc));
		return true;
	}
	if (at[0] >= 0x90 && at[0] <= 0x9f) {
		*items = at[0] & 15;
		return true;
	}
	for (size_t i = 0; i < sizeof(sized) / sizeof(sized[0]); i++) {
		if (sized[i].head != at[0])
			continue;
		if (left < 1 + (size_t)sized[i].len_bytes)
			return false;
		for (size_t k = 0; k < sized[i].len_bytes; k++)
			len = len << 8 | at[1 + k];
		*size = 1 + (size_t)sized[i].len_bytes + (sized[i].array ? 0 : len);
		*items = sized[i].array ? len : 0;
		return true;
	}
	return false;
}

/*
 * Checks the structure of the input before the msgpack library reads it.  The
 * library allocates memory for as many items as an array announces, so an array
 * must not announce more items than there are bytes left.
 */
static bool bytes_valid(wl_str_t bytes)
{
	const unsigned char *at = (const unsigned char *)bytes.at;
	size_t left[MAX_DEPTH] = {1};
	size_t depth = 0;
	size_t done = 0;

	while (done < bytes.len) {
		size_t size;
		size_t items;

		while (depth > 0 && left[depth] == 0)
			depth--;
		if (left[depth] == 0)
			return false;
		left[depth]--;
		if (!head_size(at + done, bytes.len - done, &size, &items))
			return false;
		if (size > bytes.len - done || items > bytes.len - done)
			return false;
		done += size;
		if (items == 0)
			continue;
		if (++depth == MAX_DEPTH)
			return false;
		left[depth] = items;
	}
	for (size_t i = 0; i <= depth; i++)
		if (left[i])
			return false;
	return true;
}

/*
 * wl_record_unpack - read a struct from its msgpack form
 * @bytes: exactly one struct
 * @record: overwritten without release; zeroed after a failure
 * @err: WL_E_BAD_INPUT, with the name of the invalid field
 */
bool wl_record_unpack(const wl_schema_t *schema, wl_str_t bytes, void *record, wl_err_t *err)
{
	msgpack_unpacked unpacked;
	size_t offset = 0;
	bool ok;

	memset(record, 0, schema->size);
	if (!bytes_valid(bytes))
		return wl_err_set(err, WL_E_BAD_INPUT, WL_NOT_RUN, "%s: malformed msgpack",
				  schema->name);

	msgpack_unpacked_init(&unpacked);
	if (msgpack_unpack_next(&unpacked, bytes.at, bytes.len, &offset) != MSGPACK_UNPACK_SUCCESS)
		ok = wl_err_set(err, WL_E_BAD_INPUT, WL_NOT_RUN, "%s: malformed msgpack",
				schema->name);
	else
		ok = unpack_record(schema, &unpacked.data, record, err);
	msgpack_unpacked_destroy(&unpacked);
	if (!ok)
		wl_record_free(schema, record);
	return ok;
}
