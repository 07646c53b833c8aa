/* SHA-256 and HMAC-SHA-256, by OpenSSL's libcrypto. */

#include "digest.h"

#include <openssl/core_names.h>
#include <openssl/crypto.h>
#include <openssl/evp.h>
#include <openssl/params.h>
#include <openssl/sha.h>
#include <pthread.h>
#include <stdlib.h>

/*
 * Fetched once, because libcrypto takes longer to fetch an algorithm than to
 * authenticate a message with it.
 */
static pthread_once_t hmac_once = PTHREAD_ONCE_INIT;
static EVP_MAC_CTX *hmac_template;

static void hmac_fetch(void)
{
	char digest[] = "SHA256";
	OSSL_PARAM params[] = {OSSL_PARAM_construct_utf8_string(OSSL_MAC_PARAM_DIGEST, digest, 0),
			       OSSL_PARAM_construct_end()};
	EVP_MAC *hmac = EVP_MAC_fetch(NULL, "HMAC", NULL);

	hmac_template = hmac ? EVP_MAC_CTX_new(hmac) : NULL;
	EVP_MAC_free(hmac);
	if (!hmac_template || !EVP_MAC_CTX_set_params(hmac_template, params))
		abort();
}

/*
 * wl_sha256 - compute the SHA-256 digest of data
 */
void wl_sha256(wl_str_t data, uint8_t out[WL_SHA256_BYTES])
{
	SHA256((const unsigned char *)(data.len ? data.at : ""), data.len, out);
}

/*
 * wl_sha256_hex - compute the SHA-256 digest of data as lower-case hexadecimal text
 */
void wl_sha256_hex(wl_str_t data, char out[WL_SHA256_HEX + 1])
{
	static const char digits[] = "0123456789abcdef";
	uint8_t digest[WL_SHA256_BYTES];

	wl_sha256(data, digest);
	for (size_t i = 0; i < WL_SHA256_BYTES; i++) {
		out[2 * i] = digits[digest[i] >> 4];
		out[2 * i + 1] = digits[digest[i] & 15];
	}
	out[WL_SHA256_HEX] = '\0';
}

/*
 * wl_hmac_sha256 - compute the HMAC-SHA-256 of data
 */
void wl_hmac_sha256(wl_str_t key, wl_str_t data, uint8_t out[WL_SHA256_BYTES])
{
	const unsigned char *key_at = (const unsigned char *)(key.len ? key.at : "");
	const unsigned char *data_at = (const unsigned char *)(data.len ? data.at : "");
	EVP_MAC_CTX *mac;
	size_t len;

	pthread_once(&hmac_once, hmac_fetch);
	mac = EVP_MAC_CTX_dup(hmac_template);
	if (!mac || !EVP_MAC_init(mac, key_at, key.len, NULL) ||
	    !EVP_MAC_update(mac, data_at, data.len) ||
	    !EVP_MAC_final(mac, out, &len, WL_SHA256_BYTES))
		abort();
	EVP_MAC_CTX_free(mac);
}

/*
 * wl_digest_equal - compare two digests or secrets in constant time
 */
bool wl_digest_equal(const uint8_t *a, const uint8_t *b, size_t len)
{
	return CRYPTO_memcmp(a, b, len) == 0;
}
