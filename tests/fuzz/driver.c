/*
 * Runs a fuzz target on a corpus and on seeded mutations of it, for builds without libFuzzer.
 *
 * usage: fuzz_NAME CORPUS-FOLDER RUNS SEED
 */

#include <dirent.h>
#include <signal.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <unistd.h>

#include "mutations.h"

#define MAX_FILES     256
#define MAX_MUTATIONS 8
/* After RUNS inputs with changed bytes, a share of RUNS gets values that parsers find hard. */
#define HARD_SHARE 4
/* So much of an input that ends the process is printed. */
#define PRINTED_BYTES 1024
#define INPUT_MAX_S   10 /* an input that takes longer is a failure */

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

/* The input at work, for the handler of signals. */
static const uint8_t *current;
static size_t current_size;

/* Prints the input that ends the process. */
static void current_print(int signal)
{
	size_t size = current_size < PRINTED_BYTES ? current_size : PRINTED_BYTES;
	char text[64];
	int len = snprintf(text, sizeof(text), "signal %d, input of %zu bytes:\n", signal,
			   current_size);

	if (write(STDERR_FILENO, text, (size_t)len) < 0 ||
	    write(STDERR_FILENO, current, size) < 0 || write(STDERR_FILENO, "\n", 1) < 0)
		_exit(1);
	raise(signal);
}

static void signals_catch(void)
{
	static const int signals[] = {SIGABRT, SIGSEGV, SIGBUS, SIGFPE, SIGILL, SIGTRAP, SIGALRM};
	struct sigaction action = {.sa_handler = current_print,
				   .sa_flags = (int)(SA_RESETHAND | SA_NODEFER)};

	for (size_t i = 0; i < sizeof(signals) / sizeof(signals[0]); i++)
		sigaction(signals[i], &action, NULL);
}

static void input_run(const uint8_t *data, size_t size)
{
	current = data;
	current_size = size;
	alarm(INPUT_MAX_S);
	LLVMFuzzerTestOneInput(data, size);
	alarm(0);
}

typedef void (*mutate_t)(wl_buf_t *input, wl_rng_t *rng);

static void run_one(const corpus_t *corpus, wl_rng_t *rng, mutate_t mutate)
{
	wl_buf_t input = {0};
	size_t count = wl_rng_below(rng, MAX_MUTATIONS);
	uint8_t *exact;

	wl_buf_set(&input, wl_buf_str(&corpus->files[wl_rng_below(rng, corpus->count)]));
	for (size_t i = 0; i < count; i++)
		mutate(&input, rng);

	/* An exact allocation lets the address sanitizer see a read past the end. */
	exact = malloc(input.len ? input.len : 1);
	if (!exact)
		abort();
	if (input.len)
		memcpy(exact, input.at, input.len);
	input_run(exact, input.len);
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
	signals_catch();
	runs = strtoul(argv[2], NULL, 10);
	wl_rng_init(&rng, strtoull(argv[3], NULL, 10), 0);
	for (size_t i = 0; i < corpus.count; i++)
		input_run((const uint8_t *)corpus.files[i].at, corpus.files[i].len);
	for (unsigned long i = 0; i < runs; i++)
		run_one(&corpus, &rng, fuzz_mutate_bytes);
	for (unsigned long i = 0; i < runs / HARD_SHARE; i++)
		run_one(&corpus, &rng, fuzz_mutate_hard);
	for (size_t i = 0; i < corpus.count; i++)
		wl_buf_free(&corpus.files[i]);
	printf("%lu inputs\n", corpus.count + runs + runs / HARD_SHARE);
	return 0;
}
