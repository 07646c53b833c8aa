/*
 * Interference of best-effort work with serving tasks.
 *
 * A Kalman filter with independent states: the baseline headroom of each serving task,
 * which moves with its users' load, and the weight of each pair of images, to which the
 * samples of all targets contribute.
 */

#include "interference.h"

#include <string.h>

#include <libwlbase/units.h>

/* Between a harmless pair and a heavy one: cautious about unknown pairs. */
#define WEIGHT_START	4.0
#define WEIGHT_VARIANCE 16.0 /* wide enough for both a harmless and a heavy pair */
/* A neighbour on a tenth of the CPU takes about 1, the headroom at the bound. */
#define WEIGHT_MAX	  12.0
#define WEIGHT_DRIFT	  0.1  /* variance per second: interference changes within seconds */
#define BASELINE_DRIFT	  0.12 /* variance per second: users' load swings within tens of seconds */
#define BASELINE_VARIANCE 1.0  /* after the first sample of a task */
/* Standard deviation of a sample, as a share of it: targets report rough values. */
#define SAMPLE_NOISE 0.1
/* Lower samples are clamped: requests queue up, and the value only says "overloaded". */
#define SAMPLE_MIN	   0.25
#define SAMPLE_MAX	   10.0
#define SATURATED_VARIANCE 1.0 /* of a sample at or below SAMPLE_MIN */
#define IMAGES_ALL	   (UINT64_MAX >> (64 - WL_IMAGES_MAX))
#define AVERAGE_TIME_CONSTANT_S \
	0.25 /* time constant equivalent to a mean over the last half second */

/*
 * wl_interference_init - reset everything that was learnt
 */
void wl_interference_init(wl_interference_t *interference)
{
	memset(interference, 0, sizeof(*interference));
	for (unsigned int i = 0; i < WL_IMAGES_MAX; i++)
		for (unsigned int k = 0; k < WL_IMAGES_MAX; k++)
			interference->pairs[i][k] =
				(wl_interference_pair_t){WEIGHT_START, WEIGHT_VARIANCE, 0};
}

/*
 * wl_interference_weight - headroom that a serving image loses to a best-effort one
 *
 * Return: the loss if the latter used all CPU of a target; 0 or more.
 */
double wl_interference_weight(const wl_interference_t *interference, unsigned int serving,
			      unsigned int best_effort)
{
	return interference->pairs[serving][best_effort].weight;
}

/*
 * wl_interference_sum_of - headroom that a serving image loses to some best-effort images
 * @shares: need be set for the given images only
 * @images: bit N: image N runs on the target
 */
double wl_interference_sum_of(const wl_interference_t *interference, unsigned int serving,
			      const wl_interference_shares_t *shares, uint64_t images)
{
	double sum = 0;

	for (; images; images &= images - 1) {
		unsigned int i = (unsigned int)__builtin_ctzll(images);

		if (shares->by_image[i] > 0)
			sum += wl_interference_weight(interference, serving, i) *
			       shares->by_image[i];
	}
	return sum;
}

/*
 * wl_interference_sum - headroom that a serving image loses to all best-effort work
 */
double wl_interference_sum(const wl_interference_t *interference, unsigned int serving,
			   const wl_interference_shares_t *shares)
{
	return wl_interference_sum_of(interference, serving, shares, IMAGES_ALL);
}

/*
 * wl_interference_average_update - update the moving average of shares that a sample averages over
 * @average: value at the last call; moves towards present
 * @present: shares since the last call
 * @passed_ns: time since the last call
 */
void wl_interference_average_update(wl_interference_shares_t *average,
				    const wl_interference_shares_t *present, uint64_t passed_ns)
{
	double passed_s = (double)passed_ns / WL_NS_PER_S;
	double keep = AVERAGE_TIME_CONSTANT_S / (AVERAGE_TIME_CONSTANT_S + passed_s);

	for (unsigned int i = 0; i < WL_IMAGES_MAX; i++)
		average->by_image[i] =
			present->by_image[i] + (average->by_image[i] - present->by_image[i]) * keep;
}

static void pairs_drift(wl_interference_t *interference, unsigned int serving,
			const wl_interference_shares_t *average, uint64_t now_ns)
{
	for (unsigned int i = 0; i < WL_IMAGES_MAX; i++) {
		wl_interference_pair_t *pair = &interference->pairs[serving][i];

		if (average->by_image[i] <= 0)
			continue;
		if (pair->at_ns)
			pair->variance +=
				WEIGHT_DRIFT * (double)(now_ns - pair->at_ns) / WL_NS_PER_S;
		if (pair->variance > WEIGHT_VARIANCE)
			pair->variance = WEIGHT_VARIANCE;
		pair->at_ns = now_ns;
	}
}

static double sample_variance(double headroom)
{
	double noise = SAMPLE_NOISE * headroom;

	return headroom <= SAMPLE_MIN ? SATURATED_VARIANCE : noise * noise;
}

static double clamp(double value, double least, double most)
{
	if (value < least)
		return least;
	return value > most ? most : value;
}

/*
 * wl_interference_update - update the filter with a sample of a serving task
 * @baseline: of that task; zeroed before its first sample
 * @serving: its image
 * @average: best-effort work on the target while the sample was taken
 * @headroom: bound / tail latency
 */
void wl_interference_update(wl_interference_t *interference, wl_interference_baseline_t *baseline,
			    unsigned int serving, const wl_interference_shares_t *average,
			    double headroom, uint64_t now_ns)
{
	double observed = clamp(headroom, SAMPLE_MIN, SAMPLE_MAX);
	double interfering = wl_interference_sum(interference, serving, average);
	double variance_sum = sample_variance(observed);
	double gain;
	double residual;

	pairs_drift(interference, serving, average, now_ns);
	if (observed > interference->headroom_max[serving])
		interference->headroom_max[serving] = observed;
	if (baseline->at_ns == 0) {
		*baseline = (wl_interference_baseline_t){
			clamp(observed + interfering, 0, interference->headroom_max[serving]),
			BASELINE_VARIANCE, now_ns};
		return;
	}
	baseline->variance += BASELINE_DRIFT * (double)(now_ns - baseline->at_ns) / WL_NS_PER_S;
	baseline->at_ns = now_ns;
	variance_sum += baseline->variance;
	for (unsigned int i = 0; i < WL_IMAGES_MAX; i++)
		variance_sum += interference->pairs[serving][i].variance * average->by_image[i] *
				average->by_image[i];

	residual = observed - (baseline->headroom - interfering);
	gain = baseline->variance / variance_sum;
	baseline->headroom =
		clamp(baseline->headroom + gain * residual, 0, interference->headroom_max[serving]);
	baseline->variance *= 1 - gain;
	for (unsigned int i = 0; i < WL_IMAGES_MAX; i++) {
		wl_interference_pair_t *pair = &interference->pairs[serving][i];

		gain = pair->variance * average->by_image[i] / variance_sum;
		pair->weight = clamp(pair->weight - gain * residual, 0, WEIGHT_MAX);
		pair->variance *= 1 - gain * average->by_image[i];
	}
}
