# Defines a module library.
#
#   zr_module(zr_name [CXX17] SOURCES a.cc ... DEPENDS zr_other ... LIBS lib ...)
#
# Every project dependency must already be a target, which makes cyclic
# dependencies a configuration error.
function(zr_module NAME)
  cmake_parse_arguments(ARG "CXX17" "" "SOURCES;DEPENDS;LIBS" ${ARGN})
  foreach(dependency IN LISTS ARG_DEPENDS)
    if(NOT TARGET ${dependency})
      message(FATAL_ERROR
        "${NAME} depends on ${dependency}, which is not defined yet (cycle or wrong order)")
    endif()
  endforeach()
  if(ARG_SOURCES)
    add_library(${NAME} STATIC ${ARG_SOURCES})
    target_include_directories(${NAME} PUBLIC ${PROJECT_SOURCE_DIR}/modules)
    target_link_libraries(${NAME} PUBLIC ${ARG_DEPENDS} ${ARG_LIBS} Threads::Threads)
    if(ARG_CXX17)
      set_target_properties(${NAME} PROPERTIES CXX_STANDARD 17)
    endif()
  else()
    add_library(${NAME} INTERFACE)
    target_include_directories(${NAME} INTERFACE ${PROJECT_SOURCE_DIR}/modules)
    target_link_libraries(${NAME} INTERFACE ${ARG_DEPENDS} ${ARG_LIBS} Threads::Threads)
  endif()
endfunction()

add_library(zr_test_main STATIC ${PROJECT_SOURCE_DIR}/cmake/test_main.cc)
target_link_libraries(zr_test_main PUBLIC Catch2::Catch2)

# Defines a Catch2 test program and registers it with ctest.
#
#   zr_test(name SOURCES a.cc ... DEPENDS zr_module ... LIBS lib ...)
function(zr_test NAME)
  cmake_parse_arguments(ARG "" "TIMEOUT" "SOURCES;DEPENDS;LIBS" ${ARGN})
  if(NOT ARG_TIMEOUT)
    set(ARG_TIMEOUT 300)
  endif()
  add_executable(${NAME} ${ARG_SOURCES})
  target_link_libraries(${NAME} PRIVATE ${ARG_DEPENDS} ${ARG_LIBS} zr_test_main)
  add_test(NAME ${NAME} COMMAND ${NAME})
  set_tests_properties(${NAME} PROPERTIES TIMEOUT ${ARG_TIMEOUT})
endfunction()
