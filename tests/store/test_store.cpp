// Tests of the writer stamp in stored values.
#include "store/writer.h"

#include <criterion/criterion.h>

using namespace cardamomstep;

Test(store, writerStampNamesReplacedVersions)
{
    StoredObject object{ObjectKind{"group"}, ObjectName{"g"}, Revision{5}, R"({"a":1})", false};
    for (std::uint64_t round = 0; round < 20; ++round) {
        const auto value = withWriterStamp(R"({"a":1,"unknown":[1]})", WriterNonce{"n" + std::to_string(round)}, &object);
        cr_assert(bool(value));
        cr_assert(value->find("\"unknown\":[1]") != std::string::npos);
        object.value = *value;
        object.version = Revision{10 + round};
    }
    const auto stamp = readWriterStamp(object.value);
    cr_assert(stamp.nonce == WriterNonce{"n19"});
    cr_assert(stamp.earlier.size() == maxEarlierWriters);
    cr_assert((stamp.earlier[0] == EarlierWriter{WriterNonce{"n18"}, Revision{28}}));
}

Test(store, valuesThatAreNotObjectsGetNoStamp)
{
    cr_assert(!withWriterStamp("[1]", WriterNonce{"n"}, nullptr));
    cr_assert(!withWriterStamp("{", WriterNonce{"n"}, nullptr));
    cr_assert(readWriterStamp("17") == WriterStamp{});
}
