/* A small blocking HTTP/1.1 server and client for the stand-ins. */

#include "http.h"

#include <arpa/inet.h>
#include <errno.h>
#include <netinet/tcp.h>
#include <poll.h>
#include <pthread.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <strings.h>
#include <sys/socket.h>
#include <time.h>
#include <unistd.h>

#define HEAD_MAX     8192
#define BODY_MAX     (4 << 20)
#define LISTEN_QUEUE 64
#define MS_PER_S     1000
#define US_PER_MS    1000
#define NS_PER_MS    1000000

typedef struct connection {
	int fd;
	http_handler_t handler;
} connection_t;

typedef struct listener {
	int fd;
	http_handler_t handler;
} listener_t;

int64_t http_now_ms(void)
{
	struct timespec at;

	clock_gettime(CLOCK_MONOTONIC, &at);
	return (int64_t)at.tv_sec * MS_PER_S + at.tv_nsec / NS_PER_MS;
}

static bool address_parse(const char *text, struct sockaddr_in *address)
{
	char ip[HTTP_TEXT_MAX];
	const char *colon = strrchr(text, ':');

	if (!colon || (size_t)(colon - text) >= sizeof(ip))
		return false;
	memcpy(ip, text, (size_t)(colon - text));
	ip[colon - text] = '\0';
	memset(address, 0, sizeof(*address));
	address->sin_family = AF_INET;
	address->sin_port = htons((uint16_t)strtoul(colon + 1, NULL, 10));
	return inet_pton(AF_INET, ip, &address->sin_addr) == 1;
}

/* Reads up to the empty line behind the headers; @extra receives what follows it. */
static char *head_read(int fd, char *buffer, size_t *extra)
{
	size_t len = 0;

	while (len < HEAD_MAX) {
		ssize_t got = recv(fd, buffer + len, HEAD_MAX - len, 0);
		char *end;

		if (got < 0 && errno == EINTR)
			continue;
		if (got <= 0)
			return NULL;
		len += (size_t)got;
		buffer[len] = '\0';
		end = strstr(buffer, "\r\n\r\n");
		if (!end)
			continue;
		end[2] = '\0';
		*extra = len - (size_t)(end + 4 - buffer);
		return end + 4;
	}
	return NULL;
}

static const char *header_find(const char *head, const char *name)
{
	size_t len = strlen(name);

	for (const char *line = strstr(head, "\r\n"); line; line = strstr(line, "\r\n")) {
		line += 2;
		if (strncasecmp(line, name, len) == 0 && line[len] == ':') {
			line += len + 1;
			return line + strspn(line, " ");
		}
	}
	return NULL;
}

/* Reads a body of which @have bytes have arrived. */
static char *body_read(int fd, const char *head, const char *have, size_t have_len, size_t *len)
{
	const char *length = header_find(head, "Content-Length");
	char *body;

	*len = length ? strtoul(length, NULL, 10) : 0;
	if (*len > BODY_MAX)
		return NULL;
	body = malloc(*len + 1);
	if (!body)
		return NULL;
	if (have_len > *len)
		have_len = *len;
	memcpy(body, have, have_len);
	while (have_len < *len) {
		ssize_t got = recv(fd, body + have_len, *len - have_len, 0);

		if (got < 0 && errno == EINTR)
			continue;
		if (got <= 0) {
			free(body);
			return NULL;
		}
		have_len += (size_t)got;
	}
	body[*len] = '\0';
	return body;
}

static bool send_all(int fd, const char *bytes, size_t len)
{
	while (len > 0) {
		ssize_t sent = send(fd, bytes, len, MSG_NOSIGNAL);

		if (sent < 0 && errno == EINTR)
			continue;
		if (sent <= 0)
			return false;
		bytes += sent;
		len -= (size_t)sent;
	}
	return true;
}

/* Returns false at the end of the connection. */
static bool request_read(int fd, http_request_t *request)
{
	char head[HEAD_MAX + 1];
	size_t extra = 0;
	const char *rest = head_read(fd, head, &extra);
	const char *expected;

	memset(request, 0, sizeof(*request));
	if (!rest || sscanf(head, "%15s %255s", request->method, request->path) != 2)
		return false;
	expected = header_find(head, "Expected-Instance");
	if (expected)
		snprintf(request->expected_instance, sizeof(request->expected_instance), "%.*s",
			 (int)strcspn(expected, "\r\n"), expected);
	request->body = body_read(fd, head, rest, extra, &request->body_len);
	return request->body != NULL;
}

static void *connection_main(void *arg)
{
	connection_t *connection = arg;
	http_request_t request;

	while (request_read(connection->fd, &request)) {
		connection->handler(connection->fd, &request);
		free(request.body);
	}
	close(connection->fd);
	free(connection);
	return NULL;
}

static void *listener_main(void *arg)
{
	listener_t *listener = arg;
	int one = 1;

	for (;;) {
		int fd = accept(listener->fd, NULL, NULL);
		connection_t *connection;
		pthread_t thread;

		if (fd < 0)
			continue;
		setsockopt(fd, IPPROTO_TCP, TCP_NODELAY, &one, sizeof(one));
		connection = malloc(sizeof(*connection));
		if (!connection) {
			close(fd);
			continue;
		}
		*connection = (connection_t){fd, listener->handler};
		if (pthread_create(&thread, NULL, connection_main, connection) == 0)
			pthread_detach(thread);
	}
	return NULL;
}

/*
 * http_serve - serve requests in threads, one for each connection
 */
bool http_serve(const char *address, http_handler_t handler)
{
	static listener_t only; /* a process serves one address */
	listener_t *listener = &only;
	struct sockaddr_in bound;
	pthread_t thread;
	int one = 1;

	if (!address_parse(address, &bound))
		return false;
	listener->handler = handler;
	listener->fd = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
	setsockopt(listener->fd, SOL_SOCKET, SO_REUSEADDR, &one, sizeof(one));
	return bind(listener->fd, (struct sockaddr *)&bound, sizeof(bound)) == 0 &&
	       listen(listener->fd, LISTEN_QUEUE) == 0 &&
	       pthread_create(&thread, NULL, listener_main, listener) == 0;
}

/*
 * http_answer - send a JSON answer
 */
bool http_answer(int fd, int status, const char *body)
{
	char head[HTTP_TEXT_MAX];
	int len = snprintf(head, sizeof(head),
			   "HTTP/1.1 %d Status\r\nContent-Type: application/json\r\n"
			   "Content-Length: %zu\r\n\r\n",
			   status, strlen(body));

	return send_all(fd, head, (size_t)len) && send_all(fd, body, strlen(body));
}

static void timeouts_set(int fd, int timeout_ms)
{
	struct timeval wait = {.tv_sec = timeout_ms / MS_PER_S,
			       .tv_usec = (suseconds_t)(timeout_ms % MS_PER_S) * US_PER_MS};

	setsockopt(fd, SOL_SOCKET, SO_RCVTIMEO, &wait, sizeof(wait));
	setsockopt(fd, SOL_SOCKET, SO_SNDTIMEO, &wait, sizeof(wait));
}

static bool exchange(int fd, const http_call_t *call, http_reply_t *reply)
{
	char head[HEAD_MAX + 1];
	const char *body = call->body ? call->body : "";
	size_t extra = 0;
	const char *rest;
	size_t len;
	int head_len = snprintf(head, sizeof(head),
				"%s %s HTTP/1.1\r\nHost: %s\r\nContent-Type: application/json\r\n"
				"Content-Length: %zu\r\nConnection: close\r\n\r\n",
				call->method, call->path, call->host ? call->host : call->address,
				strlen(body));

	if (!send_all(fd, head, (size_t)head_len) || !send_all(fd, body, strlen(body)))
		return false;
	rest = head_read(fd, head, &extra);
	if (!rest || sscanf(head, "HTTP/1.1 %d", &reply->status) != 1)
		return false;
	reply->body = body_read(fd, head, rest, extra, &len);
	return reply->body != NULL;
}

/*
 * http_send - make a call on a connection of its own
 *
 * Return: whether a complete reply has arrived in time.
 */
bool http_send(const http_call_t *call, http_reply_t *reply)
{
	struct sockaddr_in address;
	int fd = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
	bool ok;

	*reply = (http_reply_t){0};
	timeouts_set(fd, call->timeout_ms);
	ok = address_parse(call->address, &address) &&
	     connect(fd, (struct sockaddr *)&address, sizeof(address)) == 0 &&
	     exchange(fd, call, reply);
	close(fd);
	if (!ok)
		reply->status = 0;
	return ok;
}
