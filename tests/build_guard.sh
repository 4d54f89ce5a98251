#!/bin/bash
# Tests cmake/UnchangedWhileBuilding.cmake: if a header changes during a build, the build must fail, and the next
# build must leave no object with the old layout. Usage: build_guard.sh CMAKE_FOLDER
set -euo pipefail
work=$(mktemp -d)
trap 'rm -rf "$work"' EXIT
mkdir -p "$work/src"
echo 'struct Size { char c[8]; };' >"$work/src/size.hpp"
printf '#include "size.hpp"\nint Early() { return sizeof(Size); }\n' >"$work/src/early.cpp"
printf '#include "size.hpp"\nint Early();\nint main() { return Early() == sizeof(Size) ? 0 : 1; }\n' >"$work/src/late.cpp"
# A compiler launcher that changes the header once: after the first object has been compiled, and before the second.
cat >"$work/launcher" <<'L'
#!/bin/bash
"$@" || exit
if [ ! -e "$WORK/changed" ] && [[ "$*" == *early.cpp* ]]; then
  touch "$WORK/changed"
  sleep 0.01
  echo 'struct Size { char c[16]; };' >"$WORK/src/size.hpp"
  sleep 0.01
  touch "$WORK"/build/CMakeFiles/program.dir/src/early.cpp.o.d "$WORK"/build/CMakeFiles/program.dir/src/early.cpp.o
fi
L
chmod +x "$work/launcher"
cat >"$work/CMakeLists.txt" <<L
cmake_minimum_required(VERSION 3.20)
project(guarded LANGUAGES CXX)
include($1/UnchangedWhileBuilding.cmake)
add_executable(program src/early.cpp src/late.cpp)
if(GUARD)
  unchanged_while_building(TARGET program FIRST program FOLDERS src)
endif()
L
build() { WORK=$work cmake --build "$work/build" -j1 >"$work/log" 2>&1; }
cmake -S "$work" -B "$work/build" -DGUARD=ON -DCMAKE_CXX_COMPILER_LAUNCHER="$work/launcher" >/dev/null
if build; then echo "a build succeeded although a header changed during it"; exit 1; fi
grep -q 'size.hpp changed while this was being built: build again' "$work/log" || { cat "$work/log"; exit 1; }
build || { cat "$work/log"; exit 1; }
"$work/build/program" || { echo "objects with two layouts of a struct were linked"; exit 1; }
# Without the check, the same change must still give a broken program, even after the next build; otherwise this
# test would prove nothing.
rm -rf "$work/build" "$work/changed"
echo 'struct Size { char c[8]; };' >"$work/src/size.hpp"
cmake -S "$work" -B "$work/build" -DGUARD=OFF -DCMAKE_CXX_COMPILER_LAUNCHER="$work/launcher" >/dev/null
build && build
if "$work/build/program"; then echo "without the check the program is not broken: the test proves nothing"; exit 1; fi
