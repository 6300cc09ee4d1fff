#!/usr/bin/env bash
# Exits with 1 if a rule was broken, 0 if all held, 2 if the case could not run.
# TROUBLE=0 leaves the disruption out.
cd "$(dirname "$0")" || exit 2
[ -x ../../target/release/rockdeal ] || { echo "build first: cargo build --release"; exit 2; }
exec python3 -B case.py
