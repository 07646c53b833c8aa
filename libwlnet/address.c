/* Parsing of socket addresses from IP:port text, and listening sockets. */

#include "address.h"

#include <arpa/inet.h>
#include <errno.h>
#include <string.h>
#include <unistd.h>

#define PORT_MAX       65535
#define LISTEN_BACKLOG 1024

static bool address_invalid(wl_str_t text, wl_err_t *err)
{
	return wl_err_set(err, WL_E_BAD_INPUT, WL_NOT_RUN,
			  "address \"" WL_STR_FMT "\": must be IP:port", WL_STR_ARG(text));
}

/*
 * wl_address_parse - parse "192.0.2.1:80" or "[2001:db8::1]:80"
 * @err: WL_E_BAD_INPUT
 */
bool wl_address_parse(wl_str_t text, wl_address_t *address, wl_err_t *err)
{
	struct sockaddr_in6 *in6 = (struct sockaddr_in6 *)&address->at;
	struct sockaddr_in *in = (struct sockaddr_in *)&address->at;
	char ip[INET6_ADDRSTRLEN + 2];
	wl_str_t host;
	wl_str_t port_text;
	uint64_t port;

	if (!wl_str_split_last(text, ':', &host, &port_text) || host.len == 0 ||
	    host.len >= sizeof(ip) || !wl_str_u64(port_text, &port) || port > PORT_MAX)
		return address_invalid(text, err);
	memcpy(ip, host.at, host.len);
	ip[host.len] = '\0';

	memset(address, 0, sizeof(*address));
	if (ip[0] == '[' && ip[host.len - 1] == ']') {
		ip[host.len - 1] = '\0';
		in6->sin6_family = AF_INET6;
		in6->sin6_port = htons((uint16_t)port);
		address->len = sizeof(*in6);
		return inet_pton(AF_INET6, ip + 1, &in6->sin6_addr) == 1 ||
		       address_invalid(text, err);
	}
	in->sin_family = AF_INET;
	in->sin_port = htons((uint16_t)port);
	address->len = sizeof(*in);
	return inet_pton(AF_INET, ip, &in->sin_addr) == 1 || address_invalid(text, err);
}

static bool address_bind(int fd, const wl_address_t *address, uint16_t *port)
{
	union {
		struct sockaddr any;
		struct sockaddr_in in;
		struct sockaddr_in6 in6;
	} bound;
	socklen_t len = sizeof(bound);
	int one = 1;

	memset(&bound, 0, sizeof(bound));
	if (setsockopt(fd, SOL_SOCKET, SO_REUSEADDR, &one, sizeof(one)) < 0 ||
	    bind(fd, (const struct sockaddr *)&address->at, address->len) < 0 ||
	    listen(fd, LISTEN_BACKLOG) < 0 || getsockname(fd, &bound.any, &len) < 0)
		return false;
	*port = ntohs(bound.any.sa_family == AF_INET6 ? bound.in6.sin6_port : bound.in.sin_port);
	return true;
}

/*
 * wl_address_listen - open a listening TCP socket
 * @text: IP:port; port 0: chosen by the kernel
 * @port: set to the port that is bound
 * @err: WL_E_BAD_INPUT, WL_E_IO
 *
 * Return: a non-blocking descriptor, or -1.
 */
int wl_address_listen(wl_str_t text, uint16_t *port, wl_err_t *err)
{
	wl_address_t address = {0};
	int fd;

	if (!wl_address_parse(text, &address, err))
		return -1;
	fd = socket(address.at.ss_family, SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);
	if (fd >= 0 && address_bind(fd, &address, port))
		return fd;

	wl_err_set(err, WL_E_IO, WL_NOT_RUN, "listen on " WL_STR_FMT ": %s", WL_STR_ARG(text),
		   strerror(errno));
	if (fd >= 0)
		close(fd);
	return -1;
}
