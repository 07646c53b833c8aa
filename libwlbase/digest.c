/* SHA-256 and HMAC by OpenSSL's libcrypto. */

#include "digest.h"

#include <openssl/crypto.h>
#include <openssl/evp.h>
#include <openssl/hmac.h>
#include <openssl/sha.h>
#include <stdlib.h>

/*
 * wl_sha256 - digest some bytes
 */
void wl_sha256(wl_str_t data, uint8_t out[WL_SHA256_BYTES])
{
	SHA256((const unsigned char *)(data.len ? data.at : ""), data.len, out);
}

/*
 * wl_sha256_hex - digest some bytes, as lower-case hexadecimal text
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
 * wl_hmac_sha256 - keyed digest of some bytes
 */
void wl_hmac_sha256(wl_str_t key, wl_str_t data, uint8_t out[WL_SHA256_BYTES])
{
	unsigned int len = WL_SHA256_BYTES;

	if (!HMAC(EVP_sha256(), key.len ? key.at : "", (int)key.len,
		  (const unsigned char *)(data.len ? data.at : ""), data.len, out, &len))
		abort();
}

/*
 * wl_digest_equal - compare secrets in a time that does not depend on them
 */
bool wl_digest_equal(const uint8_t *a, const uint8_t *b, size_t len)
{
	return CRYPTO_memcmp(a, b, len) == 0;
}
