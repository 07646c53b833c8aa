/*
 * Runs a fuzz target on a corpus and on seeded mutations of it, for builds without libFuzzer.
 *
 * usage: fuzz_NAME CORPUS-FOLDER RUNS SEED
 */

#include <dirent.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include <libwlbase/rng.h>
#include <libwlbase/str.h>

#define MAX_FILES     256
#define MAX_MUTATIONS 8
#define MAX_INSERT    16

int LLVMFuzzerTestOneInput(const uint8_t *data, size_t size);

typedef struct corpus {
	wl_buf_t files[MAX_FILES];
	size_t count;
} corpus_t;

static bool file_load(const char *folder, const char *name, wl_buf_t *to)
{
	char path[1024];
	char chunk[4096];
	FILE *file;
	size_t n;

	snprintf(path, sizeof(path), "%s/%s", folder, name);
	file = fopen(path, "rb");
	if (!file)
		return false;
	wl_buf_set(to, WL_STR(""));
	while ((n = fread(chunk, 1, sizeof(chunk), file)) > 0)
		wl_buf_append(to, (wl_str_t){chunk, n});
	fclose(file);
	return true;
}

/* Loads the files in sorted order, so that a seed gives the same inputs on every file system. */
static bool corpus_load(corpus_t *corpus, const char *folder)
{
	struct dirent **entries;
	int count = scandir(folder, &entries, NULL, alphasort);

	for (int i = 0; i < count; i++) {
		if (entries[i]->d_name[0] != '.' && corpus->count < MAX_FILES &&
		    file_load(folder, entries[i]->d_name, &corpus->files[corpus->count]))
			corpus->count++;
		free(entries[i]);
	}
	if (count >= 0)
		free(entries);
	return corpus->count > 0;
}

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

static const mutation_t mutations[] = {flip,	       flip,  overwrite, overwrite,
				       truncate_input, erase, repeat};

static void run_one(const corpus_t *corpus, wl_rng_t *rng)
{
	wl_buf_t input = {0};
	size_t count = wl_rng_below(rng, MAX_MUTATIONS);
	uint8_t *exact;

	wl_buf_set(&input, wl_buf_str(&corpus->files[wl_rng_below(rng, corpus->count)]));
	for (size_t i = 0; i < count; i++)
		mutations[wl_rng_below(rng, sizeof(mutations) / sizeof(mutations[0]))](&input, rng);

	/* An exact allocation lets the address sanitizer see a read past the end. */
	exact = malloc(input.len ? input.len : 1);
	if (!exact)
		abort();
	memcpy(exact, input.at, input.len);
	LLVMFuzzerTestOneInput(exact, input.len);
	free(exact);
	wl_buf_free(&input);
}

int main(int argc, char **argv)
{
	corpus_t corpus = {.count = 0};
	wl_rng_t rng;
	unsigned long runs;

	if (argc != 4 || !corpus_load(&corpus, argv[1])) {
		fprintf(stderr, "usage: %s CORPUS-FOLDER RUNS SEED\n", argv[0]);
		return 2;
	}
	runs = strtoul(argv[2], NULL, 10);
	wl_rng_init(&rng, strtoull(argv[3], NULL, 10), 0);
	for (size_t i = 0; i < corpus.count; i++)
		LLVMFuzzerTestOneInput((const uint8_t *)corpus.files[i].at, corpus.files[i].len);
	for (unsigned long i = 0; i < runs; i++)
		run_one(&corpus, &rng);
	for (size_t i = 0; i < corpus.count; i++)
		wl_buf_free(&corpus.files[i]);
	printf("%lu inputs\n", runs);
	return 0;
}
