# Every library is found by pkg-config; Random123 is headers only.
find_package(PkgConfig REQUIRED)
find_package(Threads REQUIRED)
pkg_check_modules(CK REQUIRED IMPORTED_TARGET ck)
pkg_check_modules(MSGPACK REQUIRED IMPORTED_TARGET msgpack)
pkg_check_modules(MICROHTTPD REQUIRED IMPORTED_TARGET libmicrohttpd)
pkg_check_modules(CURL REQUIRED IMPORTED_TARGET libcurl)
pkg_check_modules(ARGTABLE REQUIRED IMPORTED_TARGET argtable2)
pkg_check_modules(JANSSON REQUIRED IMPORTED_TARGET jansson)
pkg_check_modules(XXHASH REQUIRED IMPORTED_TARGET libxxhash)
pkg_check_modules(CRYPTO REQUIRED IMPORTED_TARGET libcrypto)
pkg_check_modules(GTEST IMPORTED_TARGET gtest_main) # tests only
find_path(RANDOM123_INCLUDE Random123/philox.h REQUIRED)

# The allocator of the programs that allocate for each message.  Sanitizers and fuzzers bring their own.
add_library(wlalloc INTERFACE)
if(NOT WL_SANITIZE AND NOT WL_FUZZ)
  pkg_check_modules(JEMALLOC REQUIRED IMPORTED_TARGET jemalloc)
  # No symbol of it is named, so that a linker that drops unused libraries would drop it.
  target_link_libraries(wlalloc INTERFACE -Wl,--push-state,--no-as-needed PkgConfig::JEMALLOC -Wl,--pop-state)
endif()

# One package: a static library of the sources in the folder and its subfolders over the packages below it.
function(wl_package name)
  file(GLOB_RECURSE sources CONFIGURE_DEPENDS ${CMAKE_CURRENT_SOURCE_DIR}/*.c)
  add_library(${name} STATIC ${sources})
  target_include_directories(${name} PUBLIC ${PROJECT_SOURCE_DIR})
  target_link_libraries(${name} PUBLIC ${ARGN})
endfunction()
