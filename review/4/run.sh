#!/usr/bin/env bash
# Exit codes: 0 the rule held, 1 it was broken, 2 the case could not run. TROUBLE=0 leaves the disruption out. Writes record.txt.
cd "$(dirname "$0")/../.." || exit 2
[ -x review/bin/review-case ] && [ -x target/ragwortpin-platform-node ] || exit 2
exec review/bin/review-case public-after-term review/4
