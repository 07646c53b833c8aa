/* Selection of the HTTP headers that are forwarded to a target or back to a caller. */

#include "internal.h"

#include <strings.h>

#define RESERVED_PREFIX "Wisterialead-"

/*
 * Sorted, lower case.  Hop-by-hop headers, and headers that the next sender sets
 * itself.
 */
static const char *const hop_by_hop[] = {
	"connection",
	"content-length",
	"expect",
	"keep-alive",
	"proxy-authenticate",
	"proxy-authorization",
	"proxy-connection",
	"te",
	"trailer",
	"transfer-encoding",
	"upgrade",
};

static bool name_is(const wl_buf_t *name, const char *other)
{
	return strcasecmp(name->len ? name->at : "", other) == 0;
}

static bool name_is_reserved(const wl_buf_t *name)
{
	return name->len >= sizeof(RESERVED_PREFIX) - 1 &&
	       strncasecmp(name->at, RESERVED_PREFIX, sizeof(RESERVED_PREFIX) - 1) == 0;
}

/* Headers named by Connection are hop-by-hop too. */
static bool name_in_connection(const wl_buf_t *name, const wl_list_t *headers)
{
	const wl_buf_t *connection = wl_headers_find(headers, WL_STR("Connection"));
	wl_str_t rest = connection ? wl_buf_str(connection) : (wl_str_t){NULL, 0};
	wl_str_t part;

	while (rest.len) {
		wl_str_split(rest, ',', &part, &rest);
		while (part.len && part.at[0] == ' ')
			part = (wl_str_t){part.at + 1, part.len - 1};
		while (part.len && part.at[part.len - 1] == ' ')
			part.len--;
		if (part.len == name->len && part.len &&
		    strncasecmp(part.at, name->at, part.len) == 0)
			return true;
	}
	return false;
}

static bool header_is_hop_by_hop(const wl_header_t *header, const wl_list_t *headers)
{
	for (size_t i = 0; i < sizeof(hop_by_hop) / sizeof(hop_by_hop[0]); i++)
		if (name_is(&header->name, hop_by_hop[i]))
			return true;
	return name_is_reserved(&header->name) || name_in_connection(&header->name, headers);
}

/*
 * wl_headers_to_target - copy the caller's end-to-end headers
 * @to: headers are added to it
 *
 * Omits hop-by-hop headers, Host, the token for this daemon, and all headers
 * with the product's prefix, which only this daemon may set.
 */
void wl_headers_to_target(wl_list_t *to, const wl_list_t *from)
{
	const wl_header_t *items = from->items;

	for (size_t i = 0; i < from->count; i++) {
		if (header_is_hop_by_hop(&items[i], from) || name_is(&items[i].name, "host") ||
		    name_is(&items[i].name, "authorization"))
			continue;
		wl_headers_add(to, wl_buf_str(&items[i].name), wl_buf_str(&items[i].value));
	}
}

/*
 * wl_headers_to_caller - copy the service's end-to-end headers
 * @to: headers are added to it
 */
void wl_headers_to_caller(wl_list_t *to, const wl_list_t *from)
{
	const wl_header_t *items = from->items;

	for (size_t i = 0; i < from->count; i++)
		if (!header_is_hop_by_hop(&items[i], from))
			wl_headers_add(to, wl_buf_str(&items[i].name), wl_buf_str(&items[i].value));
}
