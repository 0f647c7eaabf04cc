#!/usr/bin/env bash
# Builds the stand-ins of the second review into review/standins-2/bin. Needs g++ and jsoncpp, which the build of the deploy file needs too.
set -euo pipefail
cd "$(dirname "$0")/standins-2"
mkdir -p bin
flags=(-std=c++20 -O1 -Wall -Wextra -I/usr/include/jsoncpp)
for part in standin fleet; do
    g++ "${flags[@]}" -c "$part.cpp" -o "bin/$part.o" &
done
wait
for script in *_case.cpp; do
    g++ "${flags[@]}" "$script" bin/standin.o bin/fleet.o -ljsoncpp -lpthread -o "bin/${script%_case.cpp}"
done
