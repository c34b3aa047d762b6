cardamomstep_library(base)
cardamomstep_test(base)

cardamomstep_library(http base cxxtools-http cxxtools Threads::Threads)
cardamomstep_test(http)
