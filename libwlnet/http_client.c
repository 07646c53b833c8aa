/* HTTP calls by libcurl. */

#include "http_client.h"

/*
 * wl_fetched_free - release what the end of a call owns
 */
void wl_fetched_free(wl_fetched_t *fetched)
{
	wl_list_free(&wl_header_schema, &fetched->headers);
	wl_buf_free(&fetched->body);
	wl_buf_free(&fetched->error);
}
