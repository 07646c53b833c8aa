/* Authentication by bearer token and customer header. */

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
 * wl_auth_bearer - check the bearer token of a call
 * @headers: of the call
 * @token: expected token; empty disables the check
 * @err: WL_E_UNAUTHORIZED
 *
 * Return: true if the token matches or none is required.
 */
bool wl_auth_bearer(const wl_list_t *headers, wl_str_t token, wl_err_t *err)
{
	uint8_t presented[WL_SHA256_BYTES];
	uint8_t expected[WL_SHA256_BYTES];

	if (token.len == 0)
		return true;
	/* Comparing digests of equal length does not leak the token's length through timing. */
	wl_sha256(bearer(headers), presented);
	wl_sha256(token, expected);
	if (wl_digest_equal(presented, expected, sizeof(expected)))
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

static bool token_matches(const wl_customer_t *customer, const wl_list_t *headers)
{
	char presented[WL_SHA256_HEX + 1];
	char expected[WL_SHA256_HEX];

	if (customer->token_sha256.len == 0)
		return true;
	if (customer->token_sha256.len != WL_SHA256_HEX)
		return false;
	wl_sha256_hex(bearer(headers), presented);
	lower_hex(wl_buf_str(&customer->token_sha256), expected);
	return wl_digest_equal((const uint8_t *)presented, (const uint8_t *)expected,
			       WL_SHA256_HEX);
}

/*
 * wl_auth_customer - find the customer named by a call and check its token
 * @lists: NULL while no configuration is in force
 * @headers: of the call
 * @err: WL_E_NO_SESSION without @lists, WL_E_BAD_INPUT without the header,
 *	WL_E_FORBIDDEN for an unknown customer, WL_E_UNAUTHORIZED for a wrong token
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
	if (token_matches(customer, headers))
		return customer;
	wl_err_set(err, WL_E_UNAUTHORIZED, WL_NOT_RUN,
		   "Authorization: missing or wrong bearer token");
	return NULL;
}
