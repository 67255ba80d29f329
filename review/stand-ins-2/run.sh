#!/bin/sh
# Runs a case, `run.sh CASE FOLDER`, from the repository's root, and ends all processes that were started,
# also when the case panics, lasts too long or is interrupted. Exit codes: 1 if the rule was broken, 0 if it
# held, 2 if the case couldn't run.
program=target/review-2/release/review-stand-ins-2
[ -x "$program" ] && [ -x target/release/bridgevane ] || exit 2
TMPDIR=$(mktemp -d) || exit 2
export TMPDIR

# `timeout` makes a process group of its own, in which the gateways are, too.
timeout -s KILL 110 "$program" "$1" "$2" &
group=$!
clean_up() {
    kill -s KILL -- "-$group" 2>/dev/null
    rm -rf "$TMPDIR"
}
trap 'clean_up; exit 2' HUP INT TERM
wait "$group"
code=$?
clean_up
[ "$code" -le 1 ] || code=2
exit "$code"
