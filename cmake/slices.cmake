cardamomstep_library(base)
cardamomstep_test(base)

cardamomstep_library(http base cxxtools-http cxxtools Threads::Threads)
cardamomstep_test(http)

cardamomstep_library(platform base http)
cardamomstep_test(platform)
cardamomstep_library(membership base platform)
cardamomstep_test(membership)
cardamomstep_library(configuration base platform membership)
cardamomstep_test(configuration)
