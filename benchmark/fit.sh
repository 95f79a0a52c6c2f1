#!/usr/bin/env bash
# Fits lines through the rows of fleet.sh (CSV [TARGET_SIZE]) and extrapolates.
set -euo pipefail
csv=$1
target=${2:-4100}

# fit COLUMN NAME LOG2 prints the least-squares line through the rows.
fit() {
  awk -F, -v column="$1" -v name="$2" -v use_log="$3" -v target="$target" '
    NR > 1 { x = use_log ? log($1) / log(2) : $1; y = $column; n++; sx += x; sy += y; sxx += x * x; sxy += x * y; syy += y * y }
    END { d = n * sxx - sx * sx; if (n < 2 || d == 0) exit
      slope = (n * sxy - sx * sy) / d; base = (sy - slope * sx) / n
      v = n * syy - sy * sy; r2 = v > 0 ? (n * sxy - sx * sy) ^ 2 / d / v : 1
      t = use_log ? log(target) / log(2) : target
      printf "%s = %.4g + %.4g * %s, R^2 = %.3f; at %d: %.4g\n", name, base, slope, use_log ? "log2(N)" : "N", r2, target, base + slope * t }' "$csv"
}

fit 2 "bytes sent per daemon per s" 1
fit 3 "bytes received per daemon per s" 1
fit 4 "processor time, % of a core" 0
fit 6 "resident memory, MiB" 0
fit 9 "time in force everywhere, median ms" 1
