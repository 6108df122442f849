# Compiler settings and the functions that declare the workspace's targets.

set(CMAKE_CXX_STANDARD 20)
set(CMAKE_CXX_STANDARD_REQUIRED ON)
set(CMAKE_CXX_EXTENSIONS OFF)
set(CMAKE_EXPORT_COMPILE_COMMANDS ON)
# The daemon is a shared library, see packages/node/banyantrail/node/main.cc.
set(CMAKE_POSITION_INDEPENDENT_CODE ON)
if(NOT CMAKE_BUILD_TYPE)
  set(CMAKE_BUILD_TYPE RelWithDebInfo)
endif()
# Coroutine-heavy translation units compile twice as fast without full debug
# information; line tables are enough for a backtrace.
set(CMAKE_CXX_FLAGS_RELWITHDEBINFO "-O2 -g1")

find_program(CCACHE_PROGRAM ccache)
if(CCACHE_PROGRAM)
  set(CMAKE_CXX_COMPILER_LAUNCHER "${CCACHE_PROGRAM}")
endif()

find_package(Threads REQUIRED)
find_package(Boost 1.74 REQUIRED)
find_package(OpenSSL REQUIRED)
find_package(log4cxx REQUIRED)
find_package(nlohmann_json REQUIRED)
find_package(prometheus-cpp REQUIRED)
if(BUILD_TESTING)
  find_package(rapidcheck REQUIRED)
  # Debian's CppUTest package file names include folders that do not exist.
  find_path(CPPUTEST_INCLUDE_DIR CppUTest/TestHarness.h REQUIRED)
  find_library(CPPUTEST_LIBRARY CppUTest REQUIRED)
endif()
find_path(CAF_INCLUDE_DIR caf/all.hpp REQUIRED)
find_library(CAF_CORE_LIBRARY caf_core REQUIRED)
find_path(XXHASH_INCLUDE_DIR xxhash.h REQUIRED)
find_library(XXHASH_LIBRARY xxhash REQUIRED)

option(BANYANTRAIL_SANITIZE "Build with AddressSanitizer and UBSan" OFF)

add_library(banyantrail_options INTERFACE)
target_compile_options(banyantrail_options INTERFACE -Wall -Wextra
                                                     -Wno-missing-field-initializers)
target_compile_definitions(
  banyantrail_options INTERFACE BOOST_ASIO_NO_DEPRECATED BOOST_ASIO_HAS_CO_AWAIT
                                BOOST_ASIO_HAS_STD_COROUTINE)
if(BANYANTRAIL_SANITIZE)
  target_compile_options(banyantrail_options
                         INTERFACE -fsanitize=address,undefined)
  target_link_options(banyantrail_options INTERFACE
                      -fsanitize=address,undefined)
endif()

# Declares the library of one package.
function(banyantrail_library name)
  cmake_parse_arguments(ARG "" "" "SOURCES;DEPS" ${ARGN})
  add_library(banyantrail_${name} STATIC ${ARG_SOURCES})
  target_include_directories(banyantrail_${name}
                             PUBLIC ${CMAKE_CURRENT_SOURCE_DIR})
  target_link_libraries(banyantrail_${name} PUBLIC banyantrail_options
                                                   ${ARG_DEPS})
endfunction()

# Declares a CppUTest binary and registers it with CTest.
function(banyantrail_test name)
  cmake_parse_arguments(ARG "" "" "SOURCES;DEPS" ${ARGN})
  add_executable(${name} ${ARG_SOURCES}
                         ${CMAKE_SOURCE_DIR}/tests/support/test_main.cc)
  target_include_directories(${name} PRIVATE ${CMAKE_SOURCE_DIR}/tests)
  target_link_libraries(${name} PRIVATE ${ARG_DEPS} ${CPPUTEST_LIBRARY} rapidcheck)
  # CppUTest's macro for `new` breaks headers that use placement new.
  target_compile_definitions(${name}
                             PRIVATE CPPUTEST_MEM_LEAK_DETECTION_DISABLED)
  add_test(NAME ${name} COMMAND ${name})
  set_tests_properties(${name} PROPERTIES ENVIRONMENT "RC_PARAMS=seed=20261204"
                                          TIMEOUT 120)
endfunction()
