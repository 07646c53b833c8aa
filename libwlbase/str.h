#ifndef WL_STR_H
#define WL_STR_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>
#include <string.h>

/* A view of bytes that it does not own; not NUL-terminated. */
typedef struct wl_str {
	const char *at;
	size_t len;
} wl_str_t;

/* A growable buffer that owns its bytes.  at[len] is always NUL if at is not NULL. */
typedef struct wl_buf {
	char *at;
	size_t len;
	size_t capacity;
} wl_buf_t;

#define WL_STR(literal) ((wl_str_t){(literal), sizeof(literal) - 1})
#define WL_STR_FMT	"%.*s"
#define WL_STR_ARG(s)	(int)(s).len, (s).at ? (s).at : ""

wl_str_t wl_str_from(const char *text);

/* Returns whether two strings are equal; inline because table searches call it often. */
static inline bool wl_str_equal(wl_str_t a, wl_str_t b)
{
	return a.len == b.len && (a.len == 0 || memcmp(a.at, b.at, a.len) == 0);
}

int wl_str_compare(wl_str_t a, wl_str_t b);
bool wl_str_starts(wl_str_t s, wl_str_t prefix);
bool wl_str_split(wl_str_t s, char at, wl_str_t *head, wl_str_t *tail);
bool wl_str_split_last(wl_str_t s, char at, wl_str_t *head, wl_str_t *tail);
bool wl_str_u64(wl_str_t s, uint64_t *value);
uint64_t wl_str_hash(wl_str_t s, uint64_t seed);

void wl_buf_init(wl_buf_t *buf);
void wl_buf_free(wl_buf_t *buf);
void wl_buf_set(wl_buf_t *buf, wl_str_t s);
void wl_buf_append(wl_buf_t *buf, wl_str_t s);
void wl_buf_append_u64(wl_buf_t *buf, uint64_t number);
void wl_buf_printf(wl_buf_t *buf, const char *format, ...) __attribute__((format(printf, 2, 3)));
void wl_buf_clear(wl_buf_t *buf);
void wl_buf_move(wl_buf_t *to, wl_buf_t *from);

/* Returns a view of a buffer, valid until the buffer changes. */
static inline wl_str_t wl_buf_str(const wl_buf_t *buf)
{
	return (wl_str_t){buf->at, buf->len};
}

/* Allocation that aborts the process on failure, because no caller could continue. */
void *wl_alloc(size_t size);
void *wl_realloc(void *at, size_t size);

#endif
