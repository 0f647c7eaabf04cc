#!/usr/bin/env bash
# Builds the stand-ins of the review's scripts. They use only what the build of the deploy file needs.
set -euo pipefail
cd "$(dirname "$0")"
mkdir -p bin
g++ -std=c++20 -O1 -g -Wall -Wextra -pthread -o bin/review-case standins/main.cpp standins/cases.cpp standins/world.cpp -ljsoncpp
