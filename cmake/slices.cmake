cardamomstep_library(base)
cardamomstep_test(base)
