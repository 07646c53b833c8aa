/* Who is calling: bearer tokens and the customer header. */

#include "auth.h"

#include <libwlbase/digest.h>

static wl_str_t bearer(const wl_list_t *headers)
{
	const wl_buf_t *header = wl_headers_find(headers, WL_STR("Authorization"));
	wl_str_t prefix = WL_STR("Bearer ");

	if (!header || !wl_str_starts(wl_buf_str(header), prefix))
		return (wl_str_t){NULL, 0};
	return (wl_str_t){header->at + prefix.len, header->len - prefix.len};
}

/*
 * wl_auth_bearer - check a caller's bearer token
 * @headers: of the request
 * @token: the right one; empty when none is asked for
 * @err: WL_E_UNAUTHORIZED
 */
bool wl_auth_bearer(const wl_list_t *headers, wl_str_t token, wl_err_t *err)
{
	uint8_t shown[WL_SHA256_BYTES];
	uint8_t right[WL_SHA256_BYTES];

	if (token.len == 0)
		return true;
	/* Digests have one length, so that the time says nothing of the token's. */
	wl_sha256(bearer(headers), shown);
	wl_sha256(token, right);
	if (wl_digest_equal(shown, right, sizeof(right)))
		return true;
	return wl_err_set(err, WL_E_UNAUTHORIZED, WL_NOT_RUN,
			  "Authorization: missing or wrong bearer token");
}

static void lower_hex(wl_str_t hex, char out[WL_SHA256_HEX])
{
	for (size_t i = 0; i < WL_SHA256_HEX; i++) {
		char c = hex.at[i];

		out[i] = c;
		if (c >= 'A' && c <= 'F')
			out[i] = (char)(c - 'A' + 'a');
	}
}

static bool token_right(const wl_customer_t *customer, const wl_list_t *headers)
{
	char shown[WL_SHA256_HEX + 1];
	char right[WL_SHA256_HEX];

	if (customer->token_sha256.len == 0)
		return true;
	if (customer->token_sha256.len != WL_SHA256_HEX)
		return false;
	wl_sha256_hex(bearer(headers), shown);
	lower_hex(wl_buf_str(&customer->token_sha256), right);
	return wl_digest_equal((const uint8_t *)shown, (const uint8_t *)right, WL_SHA256_HEX);
}

/*
 * wl_auth_customer - find the customer that a request names and check its token
 * @lists: NULL when none are in force yet
 * @headers: of the request
 * @err: WL_E_BAD_INPUT without the header, WL_E_FORBIDDEN for an unknown
 *	customer, WL_E_UNAUTHORIZED for a wrong token, WL_E_NO_SESSION without lists
 *
 * Return: the customer, valid as long as @lists, or NULL.
 */
const wl_customer_t *wl_auth_customer(const wl_lists_t *lists, const wl_list_t *headers,
				      wl_err_t *err)
{
	const wl_buf_t *name = wl_headers_find(headers, WL_STR("Wisterialead-Customer"));
	const wl_customer_t *customer;

	if (!lists) {
		wl_err_set(err, WL_E_NO_SESSION, WL_NOT_RUN, "no configuration is in force yet");
		return NULL;
	}
	if (!name || name->len == 0) {
		wl_err_set(err, WL_E_BAD_INPUT, WL_NOT_RUN, "Wisterialead-Customer: missing");
		return NULL;
	}
	customer = wl_lists_customer(lists, wl_buf_str(name));
	if (!customer) {
		wl_err_set(err, WL_E_FORBIDDEN, WL_NOT_RUN,
			   "Wisterialead-Customer: unknown customer");
		return NULL;
	}
	if (token_right(customer, headers))
		return customer;
	wl_err_set(err, WL_E_UNAUTHORIZED, WL_NOT_RUN,
		   "Authorization: missing or wrong bearer token");
	return NULL;
}
