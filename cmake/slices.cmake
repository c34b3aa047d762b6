cardamomstep_library(base)
cardamomstep_test(base)

cardamomstep_library(http base cxxtools-http cxxtools Threads::Threads)
cardamomstep_test(http)

cardamomstep_library(json base)
cardamomstep_test(json)

cardamomstep_library(settings json http)
cardamomstep_test(settings)

cardamomstep_library(records json http)
cardamomstep_test(records)
