#!/bin/sh
# The stand-ins of the second review are Python programs in lib-2: there is nothing to compile. This checks
# that the program of the deploy file is built and that Python can run them.
cd "$(dirname "$0")/.." || exit 1
test -x target/release/pinepoint || { echo "build the program first: cargo build --release --locked" >&2; exit 1; }
exec python3 -c 'import sys; sys.dont_write_bytecode = True; sys.path.insert(0, "review/lib-2"); import kit'
