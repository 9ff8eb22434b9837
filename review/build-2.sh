#!/bin/sh
# Builds the stand-ins of the second review's scripts. They use the standard library only.
set -e
cd "$(dirname "$0")"
python3 -m py_compile common-2/*.py
for number in 6 7 8 9 10; do
    [ ! -d "$number" ] || for file in "$number"/*.py; do
        [ ! -e "$file" ] || python3 -m py_compile "$file"
    done
done
