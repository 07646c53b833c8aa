#ifndef REVIEW_HTTP_H
#define REVIEW_HTTP_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

/* A small blocking HTTP/1.1 implementation for the stand-ins: bodies with a Content-Length only. */

#define HTTP_TEXT_MAX 256

typedef struct http_request {
	char method[16];
	char path[HTTP_TEXT_MAX];
	char expected_instance[HTTP_TEXT_MAX]; /* header Expected-Instance; empty: none */
	char *body;			       /* ends with a NUL */
	size_t body_len;
} http_request_t;

typedef struct http_call {
	const char *method;
	const char *address; /* IP:port */
	const char *path;
	const char *host; /* header Host; NULL: the address */
	const char *body; /* NULL: none */
	int timeout_ms;
} http_call_t;

typedef struct http_reply {
	int status; /* 0: no complete reply */
	char *body; /* NULL: none; the caller frees it */
} http_reply_t;

typedef void (*http_handler_t)(int fd, const http_request_t *request);

int64_t http_now_ms(void);
bool http_serve(const char *address, http_handler_t handler);
bool http_answer(int fd, int status, const char *body);
bool http_send(const http_call_t *call, http_reply_t *reply);

#endif
