/* Socket addresses as text: an IP address and a port. */

#include "endpoint.h"

#include <arpa/inet.h>
#include <string.h>

#include "log.h"

#define PORT_MAX      65535
#define PRINTED_BYTES 64 /* of an invalid address, in the error */

/*
 * wl_endpoint_parse - parse "192.0.2.1:80" or "[2001:db8::1]:80"
 *
 * Return: false if the text has another form, or the port is above 65535.
 */
bool wl_endpoint_parse(wl_str_t text, uint64_t *port)
{
	char ip[INET6_ADDRSTRLEN + 2];
	unsigned char parsed[16];
	wl_str_t host;
	wl_str_t port_text;

	if (!wl_str_split_last(text, ':', &host, &port_text) || host.len == 0 ||
	    host.len >= sizeof(ip) || memchr(host.at, '\0', host.len))
		return false;
	if (!wl_str_u64(port_text, port) || *port > PORT_MAX)
		return false;

	memcpy(ip, host.at, host.len);
	ip[host.len] = '\0';
	if (ip[0] == '[' && ip[host.len - 1] == ']') {
		ip[host.len - 1] = '\0';
		return inet_pton(AF_INET6, ip + 1, parsed) == 1;
	}
	return inet_pton(AF_INET, ip, parsed) == 1;
}

/*
 * wl_endpoint_check - check an address that is to be connected to
 * @field: name of the field that has it
 * @err: WL_E_BAD_INPUT, with the field and the text
 */
bool wl_endpoint_check(wl_str_t text, const char *field, wl_err_t *err)
{
	wl_buf_t found = {0};
	uint64_t port = 0;

	if (wl_endpoint_parse(text, &port) && port > 0)
		return true;
	if (text.len > PRINTED_BYTES)
		text.len = PRINTED_BYTES;
	wl_log_quote(&found, text);
	wl_err_set(err, WL_E_BAD_INPUT, WL_NOT_RUN,
		   "%s: must be IP:port with a port from 1 to 65535, not %s", field, found.at);
	wl_buf_free(&found);
	return false;
}
