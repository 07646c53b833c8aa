#!/usr/bin/env bash
# Creates tables and plots from the experiment's CSV: median over seeds with minimum and maximum.
#
# usage: report.sh SCENARIO RESULT.csv PLOT-FOLDER      (tables on standard output, Markdown)
set -euo pipefail

scenario=$1 result=$2 plots=$3

# Prints "median (min-max)".  $1: policy, $2: fault, $3: column, $4: divisor.
cell() {
	awk -F, -v policy="$1" -v fault="$2" -v name="$3" -v by="$4" '
		NR == 1 { for (i = 1; i <= NF; i++) if ($i == name) column = i; next }
		$2 == policy && $4 == fault { values[++n] = $column / by }
		END {
			if (n == 0) { printf "-"; exit }
			for (i = 1; i <= n; i++) for (k = i + 1; k <= n; k++)
				if (values[k] < values[i]) { t = values[i]; values[i] = values[k]; values[k] = t }
			middle = n % 2 ? values[(n + 1) / 2] : (values[n / 2] + values[n / 2 + 1]) / 2
			printf "%.0f (%.0f-%.0f)", middle, values[1], values[n]
		}' "$result"
}

policies=(ours round-robin fifo first-fit youngest-first no-urgent)
columns=(p50_us:1000:p50,ms p99_us:1000:p99,ms p999_us:1000:p99.9,ms rest_p99_us:1000:p99.at.rest,ms
	crest_p99_us:1000:p99.at.the.crest,ms crest_p999_us:1000:p99.9.at.the.crest,ms batch_done:1:batch.tasks.done
	batch_done_ms:1000:batch.work.done,s short_p99_ms:1:short.tasks:.p99.turnaround,ms
	urgent_task_worst_ms:1:urgent.tasks:.worst.turnaround,ms not_run:1:not.run unknown:1:unknown evictions:1:evictions
	throttles:1:throttles retries:1:retries hedges:1:hedges)

printf '| |'
for policy in "${policies[@]}"; do printf ' %s |' "$policy"; done
printf '\n|---|'
for policy in "${policies[@]}"; do printf -- '---|'; done
printf '\n'
for column in "${columns[@]}"; do
	IFS=: read -r name by label <<<"$column"
	printf '| %s |' "$(tr '.' ' ' <<<"$label" | sed 's/,/, /; s/p99 9/p99.9/')"
	for policy in "${policies[@]}"; do printf ' %s |' "$(cell "$policy" none "$name" "$by")"; done
	printf '\n'
done

mkdir -p "$plots"
data=$(mktemp)
trap 'rm -f "$data"' EXIT
for policy in ours round-robin fifo first-fit youngest-first; do
	awk -F, -v policy="$policy" '
		NR == 1 { for (i = 1; i <= NF; i++) at[$i] = i; next }
		$2 == policy && $4 == "none" { n++; rest += $at["rest_p99_us"]; crest += $at["crest_p99_us"]; work += $at["batch_done_ms"] }
		END { if (n) printf "%s %f %f %f\n", policy, rest / n / 1000, crest / n / 1000, work / n / 1000 }' "$result"
done >"$data"
gnuplot <<G
set terminal svg size 720,360 font "sans,12"
set output "$plots/$scenario-latency.svg"
set style data histogram
set style fill solid 0.8
set boxwidth 0.9
set yrange [0:*]
set ylabel "p99, ms (mean over seeds)"
set title "$scenario: urgent requests at rest and at the crest"
plot "$data" using 2:xtic(1) title "at rest", "" using 3 title "at the crest"
set output "$plots/$scenario-batch.svg"
set ylabel "batch work done, s (mean over seeds)"
set title "$scenario: batch work done in one run"
plot "$data" using 4:xtic(1) notitle
G
