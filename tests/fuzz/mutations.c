/*
 * Mutations of an input: of its bytes, and of its values, which are replaced by ones that
 * parsers find hard. The start and the end of a value are found in JSON; in other formats
 * the replacement stands at a random place.
 */

#include "mutations.h"

#include <stdlib.h>

#define MAX_INSERT 16

/* Levels of nesting; those that take long are drawn rarely. */
#define DEPTH_RARE_SHARE 50
#define DIGITS		 400

static void flip(wl_buf_t *input, wl_rng_t *rng)
{
	unsigned char *bytes = (unsigned char *)input->at;

	if (input->len)
		bytes[wl_rng_below(rng, input->len)] ^= (unsigned char)(1u << wl_rng_below(rng, 8));
}

static void overwrite(wl_buf_t *input, wl_rng_t *rng)
{
	static const unsigned char values[] = {0, 1, 0x7f, 0x80, 0xff, 0xdd, 0xc6, '"', '{', ','};

	if (input->len)
		input->at[wl_rng_below(rng, input->len)] =
			(char)values[wl_rng_below(rng, sizeof(values))];
}

static void truncate_input(wl_buf_t *input, wl_rng_t *rng)
{
	input->len = wl_rng_below(rng, input->len + 1);
}

static void erase(wl_buf_t *input, wl_rng_t *rng)
{
	size_t at = wl_rng_below(rng, input->len + 1);
	size_t count = wl_rng_below(rng, input->len - at + 1);

	memmove(input->at + at, input->at + at + count, input->len - at - count);
	input->len -= count;
}

static void repeat(wl_buf_t *input, wl_rng_t *rng)
{
	char copy[MAX_INSERT];
	size_t at = wl_rng_below(rng, input->len + 1);
	size_t count = wl_rng_below(rng, MAX_INSERT);

	if (count > input->len - at)
		count = input->len - at;
	memcpy(copy, input->at + at, count);
	wl_buf_append(input, (wl_str_t){copy, count});
}

typedef void (*mutation_t)(wl_buf_t *input, wl_rng_t *rng);

static const mutation_t byte_mutations[] = {flip,	    flip,  overwrite, overwrite,
					    truncate_input, erase, repeat};

/*
 * fuzz_mutate_bytes - change single bytes, or remove or repeat some
 */
void fuzz_mutate_bytes(wl_buf_t *input, wl_rng_t *rng)
{
	byte_mutations[wl_rng_below(rng, sizeof(byte_mutations) / sizeof(byte_mutations[0]))](input,
											      rng);
}

static void splice(wl_buf_t *input, size_t at, size_t len, wl_str_t text)
{
	wl_buf_t result = {0};

	wl_buf_append(&result, (wl_str_t){input->at, at});
	wl_buf_append(&result, text);
	wl_buf_append(&result, (wl_str_t){input->at + at + len, input->len - at - len});
	wl_buf_free(input);
	*input = result;
}

/* Returns the end of the JSON value at a position: of a string, a list, an object or a word. */
static size_t value_end(const wl_buf_t *input, size_t at)
{
	bool quoted = false;
	size_t depth = 0;

	for (size_t i = at; i < input->len; i++) {
		char byte = input->at[i];

		if (byte == '\\' && quoted) {
			i++;
		} else if (byte == '"') {
			quoted = !quoted;
		} else if (quoted) {
			continue;
		} else if (byte == '{' || byte == '[') {
			depth++;
		} else if (byte == '}' || byte == ']' || byte == ',') {
			if (depth == 0)
				return i;
			depth -= byte != ',';
		}
	}
	return input->len;
}

/* Draws a value of the input; the whole input if there is none. */
static void value_draw(const wl_buf_t *input, wl_rng_t *rng, size_t *at, size_t *len)
{
	size_t start = input->len ? wl_rng_below(rng, input->len) : 0;

	for (size_t i = 0; i < input->len; i++) {
		size_t place = (start + i) % input->len;
		char byte = input->at[place];

		if (byte != ':' && byte != '[' && byte != ',')
			continue;
		*at = place + 1;
		*len = value_end(input, *at) - *at;
		return;
	}
	*at = 0;
	*len = input->len;
}

static void nested(wl_buf_t *text, wl_rng_t *rng)
{
	static const size_t depths[] = {100, 1000, 2047, 2048, 2049, 10000};
	static const size_t rare[] = {100000, 1000000};
	bool list = wl_rng_below(rng, 2);
	size_t depth = depths[wl_rng_below(rng, sizeof(depths) / sizeof(depths[0]))];

	if (wl_rng_below(rng, DEPTH_RARE_SHARE) == 0)
		depth = rare[wl_rng_below(rng, sizeof(rare) / sizeof(rare[0]))];
	for (size_t i = 0; i < depth; i++)
		wl_buf_append(text, list ? WL_STR("[") : WL_STR("{\"a\":"));
	wl_buf_append(text, WL_STR("1"));
	for (size_t i = 0; i < depth; i++)
		wl_buf_append(text, list ? WL_STR("]") : WL_STR("}"));
}

static void digits(wl_buf_t *text, wl_rng_t *rng)
{
	if (wl_rng_below(rng, 2))
		wl_buf_append(text, WL_STR("-"));
	for (size_t i = 0; i < DIGITS; i++)
		wl_buf_append(text, WL_STR("9"));
	if (wl_rng_below(rng, 2))
		wl_buf_append(text, WL_STR(".5"));
}

static const char *const numbers[] = {
	"1e999",
	"-1e999",
	"1e308",
	"1e-400",
	"-1",
	"-0",
	"-0.0",
	"0",
	"0.5",
	"41.5",
	"1.0",
	"250.0",
	"255",
	"70000",
	"99999",
	"4294967296",
	"9007199254740993",
	"18446744073709",
	"18446744073710",
	"1000000000000000000",
	"9223372036854775807",
	"9223372036854775808",
	"18446744073709551615",
	"-9223372036854775808",
	"9.3e18",
	"NaN",
	"Infinity",
	"0x10",
};

static const char *const texts[] = {
	"\"\"",
	"\"10.0.0.1:0\"",
	"\"10.0.0.1:70000\"",
	"\"10.0.0.1:99999\"",
	"\"10.0.0.1:-1\"",
	"\"10.0.0.1:80:80\"",
	"\"10.0.0.1\"",
	"\"10.0.0.999:80\"",
	"\"host:80\"",
	"\"[::1]:80\"",
	"\"[::1]:70000\"",
	"\"[:80\"",
	"\"user@10.0.0.1:80\"",
	"\"10.0.0.1:80/a?b\"",
	"\"10.0.0.1:80\\r\\nA: b\"",
	"\"\\u0000\"",
	"\"a\\u0000b\"",
	"\"\\ud800\"",
	"\"\\udc00\\ud800\"",
	"\"\xff\xfe\"",
	"\"\xc0\xaf\"",
	"\"\xed\xa0\x80\"",
	"\"\xf4\x90\x80\x80\"",
	"\"unknown\"",
	"\"4\"",
	"null",
	"true",
	"false",
	"[]",
	"{}",
	"[[]]",
	"[null]",
	"[\"a\",7]",
	"{\"\":0}",
	"",
	",",
	"nul",
};

static void number(wl_buf_t *text, wl_rng_t *rng)
{
	wl_buf_append(
		text,
		wl_str_from(numbers[wl_rng_below(rng, sizeof(numbers) / sizeof(numbers[0]))]));
}

static void odd_text(wl_buf_t *text, wl_rng_t *rng)
{
	wl_buf_append(text,
		      wl_str_from(texts[wl_rng_below(rng, sizeof(texts) / sizeof(texts[0]))]));
}

static const mutation_t values[] = {nested, digits, number, number, number, odd_text, odd_text};

static void value_replace(wl_buf_t *input, wl_rng_t *rng)
{
	wl_buf_t text = {0};
	size_t at;
	size_t len;

	values[wl_rng_below(rng, sizeof(values) / sizeof(values[0]))](&text, rng);
	value_draw(input, rng, &at, &len);
	splice(input, at, len, wl_buf_str(&text));
	wl_buf_free(&text);
}

/* Adds a copy of a member or an item before it, for objects a duplicate key. */
static void value_duplicate(wl_buf_t *input, wl_rng_t *rng)
{
	wl_buf_t copy = {0};
	size_t start = input->len ? wl_rng_below(rng, input->len) : 0;

	while (start > 0 && input->at[start - 1] != ',' && input->at[start - 1] != '{')
		start--;
	wl_buf_append(&copy, (wl_str_t){input->at + start, value_end(input, start) - start});
	wl_buf_append(&copy, WL_STR(","));
	splice(input, start, 0, wl_buf_str(&copy));
	wl_buf_free(&copy);
}

static void value_remove(wl_buf_t *input, wl_rng_t *rng)
{
	size_t start = input->len ? wl_rng_below(rng, input->len) : 0;
	size_t end;

	while (start > 0 && input->at[start - 1] != ',' && input->at[start - 1] != '{')
		start--;
	end = value_end(input, start);
	if (end < input->len && input->at[end] == ',')
		end++;
	splice(input, start, end - start, WL_STR(""));
}

static void byte_insert(wl_buf_t *input, wl_rng_t *rng)
{
	static const char bytes[] = {'\0', '\xff', '\xc0', '\x80', '\n', '\r'};

	splice(input, wl_rng_below(rng, input->len + 1), 0,
	       (wl_str_t){&bytes[wl_rng_below(rng, sizeof(bytes))], 1});
}

/* Overwrites 1, 2 or 4 bytes, which may be a length, by one that does not fit what follows. */
static void length_overwrite(wl_buf_t *input, wl_rng_t *rng)
{
	static const unsigned char lengths[][4] = {
		{0xff, 0xff, 0xff, 0xff}, {0x7f, 0xff, 0xff, 0xff}, {0x00, 0x00, 0x00, 0x00},
		{0x80, 0x00, 0x00, 0x00}, {0x00, 0x00, 0x00, 0x80}, {0x00, 0x00, 0x01, 0x00},
	};
	size_t len = (size_t)1 << wl_rng_below(rng, 3);

	if (input->len < len)
		return;
	memcpy(input->at + wl_rng_below(rng, input->len - len + 1),
	       lengths[wl_rng_below(rng, sizeof(lengths) / sizeof(lengths[0]))], len);
}

/* Replaces the digits after a colon, which may be a port. */
static void port_replace(wl_buf_t *input, wl_rng_t *rng)
{
	static const char *const ports[] = {"0", "70000", "99999", "65536", "-1", "", "8080x"};
	size_t start = input->len ? wl_rng_below(rng, input->len) : 0;

	for (size_t i = 0; i + 1 < input->len; i++) {
		size_t at = (start + i) % (input->len - 1);
		size_t end = at + 1;

		while (end < input->len && input->at[end] >= '0' && input->at[end] <= '9')
			end++;
		if (input->at[at] != ':' || end == at + 1)
			continue;
		splice(input, at + 1, end - at - 1,
		       wl_str_from(ports[wl_rng_below(rng, sizeof(ports) / sizeof(ports[0]))]));
		return;
	}
}

static const mutation_t hard_mutations[] = {value_replace,    value_replace, value_replace,
					    value_replace,    value_remove,  value_duplicate,
					    length_overwrite, byte_insert,   truncate_input,
					    port_replace,     port_replace};

/*
 * fuzz_mutate_hard - give the input a value that parsers find hard
 *
 * These are deep nesting, numbers beyond any type, ports out of range, other types, duplicate
 * and missing keys, bytes that are no text, and lengths that do not fit.
 */
void fuzz_mutate_hard(wl_buf_t *input, wl_rng_t *rng)
{
	hard_mutations[wl_rng_below(rng, sizeof(hard_mutations) / sizeof(hard_mutations[0]))](input,
											      rng);
}
