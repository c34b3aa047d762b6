cardamomstep_library(base)
cardamomstep_test(base)

cardamomstep_library(http base cxxtools-http cxxtools Threads::Threads)
cardamomstep_test(http)

# Test-only stand-ins for a database group member, the platform's store and the network.
file(GLOB standinSources CONFIGURE_DEPENDS ${CMAKE_SOURCE_DIR}/standins/*.cpp)
add_executable(standins ${standinSources})
target_compile_options(standins PRIVATE -Wall -Wextra -Wpedantic -Wno-missing-field-initializers -Werror)
target_include_directories(standins PRIVATE ${CMAKE_SOURCE_DIR}/standins)
target_link_libraries(standins PRIVATE base http Threads::Threads)
