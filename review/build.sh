#!/bin/bash
# Builds the stand-ins of the cases. Needs the standard library only.
set -eu
cd "$(dirname "$0")/.."
mkdir -p target/review
for source in review/standin/*.rs; do
	name=$(basename "$source" .rs)
	if [ "$name" != common ]; then
		rustc --edition 2021 -O "$source" -o "target/review/$name"
	fi
done
