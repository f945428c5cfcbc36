#!/usr/bin/env bash
# Builds the stand-ins that the scripts of cases 6 to 10 start. They are plain JavaScript on Node.js alone (support-2),
# so there is nothing to compile; the entries come from the build of the deploy file.
set -euo pipefail
cd "$(dirname "$0")/.."
for file in review/support-2/*.js review/{6,7,8,9,10}/run.js; do
  node --check "$file"
done
