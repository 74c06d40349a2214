#!/usr/bin/env bash
# Plays case 2. Exit code: 1 the rule was broken, 0 it held, 2 the case could not run.
cd "$(dirname "$0")/../.." || exit 2
[ -x target/review-standin ] || exit 2
exec target/review-standin 2 review/2
