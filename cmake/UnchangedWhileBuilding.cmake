# Fails a build during which a header changed. Such a build leaves objects with the old layout of a struct and objects
# with the new one; they link, and the program crashes. The next build would not repair them, as an object that was
# being compiled at the time is newer than the header. The check runs before the link, names the header, and touches it,
# so that the next build recompiles everything that includes it.
#
#   unchanged_while_building(TARGET program FIRST base_library FOLDERS src include)
#
# FIRST is the target that all other targets of the program depend on: the time of the build's start is recorded
# before it is compiled.
#
# Run as a script (cmake -P), this file is the check itself.
if(CMAKE_SCRIPT_MODE_FILE)
  foreach(folder ${FOLDERS})
    file(GLOB_RECURSE headers "${ROOT}/${folder}/*.hpp")
    foreach(header ${headers})
      if("${header}" IS_NEWER_THAN "${STAMP}")
        file(TOUCH_NOCREATE "${header}")
        message(NOTICE "${header} changed while this was being built: build again")
        message(FATAL_ERROR "Objects of two states of a header are not linked.")
      endif()
    endforeach()
  endforeach()
  return()
endif()

function(unchanged_while_building)
  cmake_parse_arguments(arg "" "TARGET;FIRST" "FOLDERS" ${ARGN})
  set(stamp "${CMAKE_BINARY_DIR}/build_began")
  if(NOT TARGET build_began)
    add_custom_target(build_began COMMAND ${CMAKE_COMMAND} -E touch "${stamp}")
  endif()
  add_dependencies(${arg_FIRST} build_began)
  string(REPLACE ";" "$<SEMICOLON>" folders "${arg_FOLDERS}")
  add_custom_command(TARGET ${arg_TARGET} PRE_LINK
    COMMAND ${CMAKE_COMMAND} "-DROOT=${CMAKE_SOURCE_DIR}" "-DSTAMP=${stamp}" "-DFOLDERS=${folders}"
            -P "${CMAKE_CURRENT_FUNCTION_LIST_FILE}"
    VERBATIM)
endfunction()
