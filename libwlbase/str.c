/* Strings with a length, buffers that own their bytes, and memory allocation. */

#include "str.h"

#include <stdarg.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include <xxhash.h>

#define BUF_MIN_BYTES  32
#define BUF_MAX_BYTES  (SIZE_MAX / 4) /* no allocation is larger */
#define U64_MAX_DIGITS 20

/*
 * wl_alloc - allocate zeroed memory
 * @size: bytes
 *
 * Return: the memory; the process aborts if none is available.
 */
void *wl_alloc(size_t size)
{
	void *at = calloc(1, size ? size : 1);

	if (!at)
		abort();
	return at;
}

/*
 * wl_realloc - change the size of an allocation
 * @at: from wl_alloc() or wl_realloc(), or NULL
 * @size: bytes
 *
 * Return: the memory; the process aborts if none is available.
 */
void *wl_realloc(void *at, size_t size)
{
	void *more = realloc(at, size ? size : 1);

	if (!more)
		abort();
	return more;
}

/*
 * wl_str_from - view a NUL-terminated text as a string
 * @text: the text, or NULL for an empty string
 */
wl_str_t wl_str_from(const char *text)
{
	return (wl_str_t){text, text ? strlen(text) : 0};
}

/*
 * wl_str_compare - order two strings by their bytes
 *
 * Return: below, equal to or above zero, as memcmp().
 */
int wl_str_compare(wl_str_t a, wl_str_t b)
{
	size_t len = a.len < b.len ? a.len : b.len;
	int order = len ? memcmp(a.at, b.at, len) : 0;

	if (order)
		return order;
	return (a.len > b.len) - (a.len < b.len);
}

/*
 * wl_str_starts - check whether a string begins with a prefix
 */
bool wl_str_starts(wl_str_t s, wl_str_t prefix)
{
	if (s.len < prefix.len)
		return false;
	return wl_str_equal((wl_str_t){s.at, prefix.len}, prefix);
}

static bool split_at(wl_str_t s, const char *found, wl_str_t *head, wl_str_t *tail)
{
	if (!found) {
		*head = s;
		*tail = (wl_str_t){NULL, 0};
		return false;
	}
	*head = (wl_str_t){s.at, (size_t)(found - s.at)};
	*tail = (wl_str_t){found + 1, s.len - head->len - 1};
	return true;
}

/*
 * wl_str_split - split a string at the first occurrence of a byte
 * @s: the string
 * @at: the byte
 * @head: the part before the byte; all of @s if it is not found
 * @tail: the part after the byte; empty if it is not found
 *
 * Return: whether the byte was found.
 */
bool wl_str_split(wl_str_t s, char at, wl_str_t *head, wl_str_t *tail)
{
	return split_at(s, s.len ? memchr(s.at, at, s.len) : NULL, head, tail);
}

/*
 * wl_str_split_last - split a string at the last occurrence of a byte
 *
 * Same as wl_str_split() otherwise; splits "[2001:db8::1]:80" at the port.
 */
bool wl_str_split_last(wl_str_t s, char at, wl_str_t *head, wl_str_t *tail)
{
	return split_at(s, s.len ? memrchr(s.at, at, s.len) : NULL, head, tail);
}

/*
 * wl_str_u64 - parse a whole string as a decimal number
 * @s: digits only
 * @value: the number
 *
 * Return: false, with @value unchanged, if @s is empty, has a character that is
 * not a digit, or does not fit 64 bits.
 */
bool wl_str_u64(wl_str_t s, uint64_t *value)
{
	uint64_t sum = 0;

	if (s.len == 0)
		return false;
	for (size_t i = 0; i < s.len; i++) {
		if (s.at[i] < '0' || s.at[i] > '9')
			return false;
		if (__builtin_mul_overflow(sum, 10, &sum) ||
		    __builtin_add_overflow(sum, (uint64_t)(s.at[i] - '0'), &sum))
			return false;
	}
	*value = sum;
	return true;
}

/*
 * wl_str_hash - hash a string; the result is the same on every machine
 */
uint64_t wl_str_hash(wl_str_t s, uint64_t seed)
{
	return XXH64(s.len ? s.at : "", s.len, seed);
}

/*
 * wl_buf_init - initialize an empty buffer
 */
void wl_buf_init(wl_buf_t *buf)
{
	*buf = (wl_buf_t){0};
}

/*
 * wl_buf_free - release the memory of a buffer, which is then empty
 */
void wl_buf_free(wl_buf_t *buf)
{
	free(buf->at);
	*buf = (wl_buf_t){0};
}

static void buf_reserve(wl_buf_t *buf, size_t more)
{
	size_t need = buf->len + more + 1;
	size_t capacity = buf->capacity ? buf->capacity : BUF_MIN_BYTES;

	if (more > BUF_MAX_BYTES || buf->len > BUF_MAX_BYTES)
		abort();
	if (need <= buf->capacity)
		return;
	while (capacity < need)
		capacity *= 2;
	buf->at = wl_realloc(buf->at, capacity);
	buf->capacity = capacity;
}

/*
 * wl_buf_set - replace the content of a buffer with a copy of a string
 */
void wl_buf_set(wl_buf_t *buf, wl_str_t s)
{
	wl_buf_clear(buf);
	wl_buf_append(buf, s);
}

/*
 * wl_buf_append - append a copy of a string, which must not be part of the buffer
 */
void wl_buf_append(wl_buf_t *buf, wl_str_t s)
{
	buf_reserve(buf, s.len);
	if (s.len)
		memcpy(buf->at + buf->len, s.at, s.len);
	buf->len += s.len;
	buf->at[buf->len] = '\0';
}

/*
 * wl_buf_printf - append formatted text
 */
void wl_buf_printf(wl_buf_t *buf, const char *format, ...)
{
	size_t available;
	va_list args;
	int len;

	buf_reserve(buf, 0);
	available = buf->capacity - buf->len;
	va_start(args, format);
	len = vsnprintf(buf->at + buf->len, available, format, args);
	va_end(args);
	if (len < 0) {
		buf->at[buf->len] = '\0';
		return;
	}
	if ((size_t)len >= available) {
		buf_reserve(buf, (size_t)len);
		va_start(args, format);
		vsnprintf(buf->at + buf->len, (size_t)len + 1, format, args);
		va_end(args);
	}
	buf->len += (size_t)len;
}

/*
 * wl_buf_append_u64 - append a number in decimal digits
 */
void wl_buf_append_u64(wl_buf_t *buf, uint64_t number)
{
	char digits[U64_MAX_DIGITS];
	size_t at = sizeof(digits);

	do {
		digits[--at] = (char)('0' + number % 10);
		number /= 10;
	} while (number);
	wl_buf_append(buf, (wl_str_t){digits + at, sizeof(digits) - at});
}

/*
 * wl_buf_clear - empty a buffer, but keep its memory
 */
void wl_buf_clear(wl_buf_t *buf)
{
	buf->len = 0;
	if (buf->at)
		buf->at[0] = '\0';
}

/*
 * wl_buf_move - move the content of one buffer to another
 * @to: its old content is released
 * @from: empty afterwards
 */
void wl_buf_move(wl_buf_t *to, wl_buf_t *from)
{
	if (to == from)
		return;
	wl_buf_free(to);
	*to = *from;
	*from = (wl_buf_t){0};
}
