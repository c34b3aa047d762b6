cardamomstep_library(base)
cardamomstep_test(base)

cardamomstep_library(http base cxxtools-http cxxtools Threads::Threads)
cardamomstep_test(http)

cardamomstep_library(connections base)
cardamomstep_test(connections)

cardamomstep_library(sessions base)
cardamomstep_test(sessions)

cardamomstep_library(requests base)
cardamomstep_test(requests)
