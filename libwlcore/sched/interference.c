/*
 * How best-effort work slows tasks that serve users.
 *
 * A Kalman filter with independent states: the headroom of each serving task
 * alone, which moves with its users' load, and the weight of each pair of
 * images, which all targets learn together.
 */

#include "interference.h"

#include <string.h>

#include <libwlbase/units.h>

#define WEIGHT_START	  4.0 /* between a harmless pair and a heavy one: cautious with what is new */
#define WEIGHT_VARIANCE	  16.0 /* both of these are likely */
#define WEIGHT_MAX	  12.0 /* a neighbour on a tenth of the processors takes no more than a bound */
#define WEIGHT_DRIFT	  0.1  /* variance a second: interference changes within seconds */
#define BASELINE_DRIFT	  0.12 /* variance a second: users' load swings within tens of seconds */
#define BASELINE_VARIANCE 1.0  /* of the first figure of a task */
#define SAMPLE_NOISE	  0.1  /* targets' figures are rough: share of the figure */
#define SAMPLE_MIN	  0.25 /* below, a queue has built up and a figure says no more than "too much" \
				*/
#define SAMPLE_MAX	   10.0
#define SATURATED_VARIANCE 1.0 /* of a figure below that */
#define IMAGES_ALL	   (UINT64_MAX >> (64 - WL_IMAGES_MAX))
#define WINDOW_S	   0.25 /* time constant that stands for a mean over the last half second */

/*
 * wl_press_init - forget all that was learnt
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
 * wl_press_weight - headroom that a serving image loses to a best-effort one
 *
 * Return: for all of a target's processors; 0 and more.
 */
double wl_interference_weight(const wl_interference_t *interference, unsigned int serving,
			      unsigned int beside)
{
	return interference->pairs[serving][beside].weight;
}

/*
 * wl_press_sum_of - headroom that a serving image loses to some of what stands beside it
 * @shares: those of other images need not be set
 * @images: bit N: image N stands beside it
 */
double wl_interference_sum_of(const wl_interference_t *interference, unsigned int serving,
			      const wl_interference_shares_t *shares, uint64_t images)
{
	double sum = 0;

	for (; images; images &= images - 1) {
		unsigned int i = (unsigned int)__builtin_ctzll(images);

		if (shares->of[i] > 0)
			sum += wl_interference_weight(interference, serving, i) * shares->of[i];
	}
	return sum;
}

/*
 * wl_press_sum - headroom that a serving image loses to all that stands beside it
 */
double wl_interference_sum(const wl_interference_t *interference, unsigned int serving,
			   const wl_interference_shares_t *shares)
{
	return wl_interference_sum_of(interference, serving, shares, IMAGES_ALL);
}

/*
 * wl_press_window - what a figure of the last half second averages over
 * @window: as it was at the last call; moves towards what is present
 * @present: shares since then
 * @passed_ns: time since then
 */
void wl_interference_window(wl_interference_shares_t *window,
			    const wl_interference_shares_t *present, uint64_t passed_ns)
{
	double passed_s = (double)passed_ns / WL_NS_PER_S;
	double keep = WINDOW_S / (WINDOW_S + passed_s);

	for (unsigned int i = 0; i < WL_IMAGES_MAX; i++)
		window->of[i] = present->of[i] + (window->of[i] - present->of[i]) * keep;
}

static void pairs_drift(wl_interference_t *interference, unsigned int serving,
			const wl_interference_shares_t *window, uint64_t now_ns)
{
	for (unsigned int i = 0; i < WL_IMAGES_MAX; i++) {
		wl_interference_pair_t *pair = &interference->pairs[serving][i];

		if (window->of[i] <= 0)
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
 * wl_press_learn - take in a figure of a serving task
 * @level: of that task; zeroed: its first figure
 * @serving: its image
 * @window: what stood beside it while the figure was taken
 * @headroom: bound / tail
 */
void wl_interference_update(wl_interference_t *interference, wl_interference_baseline_t *baseline,
			    unsigned int serving, const wl_interference_shares_t *window,
			    double headroom, uint64_t now_ns)
{
	double observed = clamp(headroom, SAMPLE_MIN, SAMPLE_MAX);
	double interfering = wl_interference_sum(interference, serving, window);
	double variance_sum = sample_variance(observed);
	double gain;
	double residual;

	pairs_drift(interference, serving, window, now_ns);
	if (observed > interference->best[serving])
		interference->best[serving] = observed;
	if (baseline->at_ns == 0) {
		*baseline = (wl_interference_baseline_t){
			clamp(observed + interfering, 0, interference->best[serving]),
			BASELINE_VARIANCE, now_ns};
		return;
	}
	baseline->variance += BASELINE_DRIFT * (double)(now_ns - baseline->at_ns) / WL_NS_PER_S;
	baseline->at_ns = now_ns;
	variance_sum += baseline->variance;
	for (unsigned int i = 0; i < WL_IMAGES_MAX; i++)
		variance_sum +=
			interference->pairs[serving][i].variance * window->of[i] * window->of[i];

	residual = observed - (baseline->headroom - interfering);
	gain = baseline->variance / variance_sum;
	baseline->headroom =
		clamp(baseline->headroom + gain * residual, 0, interference->best[serving]);
	baseline->variance *= 1 - gain;
	for (unsigned int i = 0; i < WL_IMAGES_MAX; i++) {
		wl_interference_pair_t *pair = &interference->pairs[serving][i];

		gain = pair->variance * window->of[i] / variance_sum;
		pair->weight = clamp(pair->weight - gain * residual, 0, WEIGHT_MAX);
		pair->variance *= 1 - gain * window->of[i];
	}
}
