#!/usr/bin/env bash
# Runs the case against the built program. Exits with 1 if the rule was broken, 0 if it held, 2 if the case could not run.
# TROUBLE=0: the same without the disruption.
folder=$(cd "$(dirname "$0")" && pwd) || exit 2
cd "$folder/../.." || exit 2
rm -f "$folder/record.txt"
for program in target/release/tackmast target/review/list_return; do
    if [ ! -x "$program" ]; then
        echo "$program is not built"
        exit 2
    fi
done
CASE_FOLDER=$(mktemp -d) || exit 2
export CASE_FOLDER
end_case() {
    if [ -f "$CASE_FOLDER/pids" ]; then
        while read -r pid; do kill -KILL "$pid" 2> /dev/null; done < "$CASE_FOLDER/pids"
    fi
    if [ -n "${KEEP_LOGS:-}" ]; then cp "$CASE_FOLDER"/*.log "$KEEP_LOGS"; fi
    rm -rf "$CASE_FOLDER"
}
trap end_case EXIT
timeout --kill-after=3 110 target/review/list_return "$folder/record.txt"
code=$?
case $code in 0 | 1) exit $code ;; *) exit 2 ;; esac
