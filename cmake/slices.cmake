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

cardamomstep_library(members base http)


# Generated code is committed, and compiled without the additional warnings.
add_library(peerwire STATIC ${CMAKE_SOURCE_DIR}/src/peer/generated/peer.pb.cc ${CMAKE_SOURCE_DIR}/src/peer/generated/peer.grpc.pb.cc)
target_include_directories(peerwire SYSTEM PUBLIC ${CMAKE_SOURCE_DIR}/src/peer/generated)
target_link_libraries(peerwire PUBLIC PkgConfig::GRPC PkgConfig::PROTOBUF)
cardamomstep_library(json base)
cardamomstep_test(json)

cardamomstep_library(settings json http)
cardamomstep_test(settings)

cardamomstep_library(customers base PkgConfig::CRYPTO)
cardamomstep_test(customers)
cardamomstep_library(records json http customers)
cardamomstep_test(records)

cardamomstep_library(store base http json)
cardamomstep_test(store)
cardamomstep_library(membership base store)
cardamomstep_test(membership)
cardamomstep_library(configuration base store membership)
cardamomstep_test(configuration)
cardamomstep_library(logging base settings Boost::log)
cardamomstep_test(logging)
cardamomstep_library(metrics base)

# The data path for callers whose session is a connection, and its event loop.
cardamomstep_library(evloop http)
cardamomstep_library(relay base customers sessions requests connections membership)
cardamomstep_test(relay)
cardamomstep_library(leadership relay store)
cardamomstep_test(leadership)
add_library(fleetwire STATIC ${CMAKE_SOURCE_DIR}/src/fleet/generated/fleet.pb.cc ${CMAKE_SOURCE_DIR}/src/fleet/generated/fleet.grpc.pb.cc)
target_include_directories(fleetwire SYSTEM PUBLIC ${CMAKE_SOURCE_DIR}/src/fleet/generated)
target_link_libraries(fleetwire PUBLIC PkgConfig::GRPC PkgConfig::PROTOBUF)
cardamomstep_library(fleet leadership fleetwire peer)

# Adapter to the users' platform, in the folder platform at the root.
file(GLOB platformSources CONFIGURE_DEPENDS ${CMAKE_SOURCE_DIR}/platform/*.cpp)
add_library(platform STATIC ${platformSources})
target_include_directories(platform PUBLIC ${CMAKE_SOURCE_DIR} ${CMAKE_SOURCE_DIR}/src)
target_compile_options(platform PRIVATE -Wall -Wextra -Wpedantic -Wzero-as-null-pointer-constant -Wno-missing-field-initializers -Werror)
target_link_libraries(platform PUBLIC cli evloop relay leadership fleet store logging metrics settings)
cardamomstep_test(platform)

cardamomstep_library(groups base)
cardamomstep_test(groups)
cardamomstep_library(peer base http peerwire groups configuration membership)
cardamomstep_test(peer)
cardamomstep_library(connections base)
cardamomstep_test(connections)

cardamomstep_library(sessions base)
cardamomstep_test(sessions)

cardamomstep_library(requests base)
cardamomstep_library(trace base groups)
cardamomstep_library(owner base groups sessions requests connections members trace Threads::Threads)
cardamomstep_test(requests)

cardamomstep_library(operators records store)
cardamomstep_test(operators)
cardamomstep_library(cli records settings http)
cardamomstep_test(cli operators)
cardamomstep_library(entry base json http records membership owner peer)
cardamomstep_test(entry)
cardamomstep_library(status records)
cardamomstep_test(status)
cardamomstep_library(app entry logging metrics store configuration membership operators cli status)

add_executable(cardamomstep ${CMAKE_SOURCE_DIR}/src/app/main.cpp)
target_compile_options(cardamomstep PRIVATE -Wall -Wextra -Wpedantic -Werror)
target_link_libraries(cardamomstep PRIVATE app platform)

cardamomstep_test(trace)

# Templates of the external libraries used by these files use 0 for null pointers.
set_source_files_properties(${CMAKE_SOURCE_DIR}/src/http/connection.cpp ${CMAKE_SOURCE_DIR}/src/http/server.cpp
    ${CMAKE_SOURCE_DIR}/src/evloop/lineconnection.cpp ${CMAKE_SOURCE_DIR}/src/evloop/httpclient.cpp
    ${CMAKE_SOURCE_DIR}/src/evloop/httpserver.cpp ${CMAKE_SOURCE_DIR}/platform/sessionproxycommand.cpp
    ${CMAKE_SOURCE_DIR}/platform/objectstore.cpp
    PROPERTIES COMPILE_OPTIONS -Wno-zero-as-null-pointer-constant)
# Micro benchmark; built on demand only, and not part of the test run.
add_executable(bench-decisions EXCLUDE_FROM_ALL ${CMAKE_SOURCE_DIR}/bench/decisions.cpp)
target_compile_options(bench-decisions PRIVATE -Wall -Wextra -Wno-missing-field-initializers -Werror)
target_link_libraries(bench-decisions PRIVATE sessions requests connections)

add_executable(bench-load ${CMAKE_SOURCE_DIR}/bench/load.cpp)
target_compile_options(bench-load PRIVATE -Wall -Wextra -Wno-missing-field-initializers -Werror)
target_link_libraries(bench-load PRIVATE http)
