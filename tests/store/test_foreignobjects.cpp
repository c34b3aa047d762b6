// Tests of replies of the store that hold objects which cannot be read.
#include "store/impl/storejson.h"

#include <criterion/criterion.h>

#include <string>

using namespace cardamomstep;

namespace {

std::string objectWith(const std::string &value)
{
    return R"({"kind":"group","name":"g","version":4,"value":)" + value + "}";
}

} // namespace

// One object that another process had left made every listing and watch fail.
Test(foreignobjects, anObjectThatCannotBeReadHidesNoOther)
{
    const std::string healthy = R"({"kind":"group","name":"h","version":5,"value":{"a":1}})";
    const std::string deep = std::string(70, '[') + std::string(70, ']');
    for (const std::string &value : {deep, std::string("1e400"), std::string(R"("\ud800")"), std::string("\"\xff\""), std::string("tru")}) {
        const auto body = "[" + objectWith(value) + "," + healthy + "]";
        const auto listing = impl::parseListing(R"({"revision":9,"objects":)" + body + "}");
        cr_assert(listing && listing->objects.size() == 2, "%s", value.c_str());
        cr_assert(listing->objects.front().value == "null" && listing->objects.back().value == R"({"a":1})", "%s", value.c_str());
        const auto changes = impl::parseChanges(R"({"events":)" + body + R"(,"revision":9})", Revision{3});
        cr_assert(changes && changes->changes.size() == 2 && changes->revision == Revision{9}, "%s", value.c_str());
    }
    for (const std::string odd : {"{}",
                                  "7",
                                  R"({"kind":"group","name":"","version":4,"value":1})",
                                  R"({"kind":"group","name":"g","version":-4})",
                                  R"({"kind":"group","name":"g","version":1e30,"value":1})"}) {
        const auto listing = impl::parseListing(R"({"revision":9,"objects":[)" + odd + "," + healthy + "]}");
        cr_assert(listing && listing->objects.size() == 1 && listing->unreadable == 1, "%s", odd.c_str());
    }
    cr_assert(!impl::parseListing(R"({"revision":9,"objects":[)" + healthy), "a reply that was cut is no listing");
}

Test(foreignobjects, anInstanceWithoutANameIsLeftOut)
{
    const auto instances =
        impl::parseInstances(R"({"instances":[{"address":"10.0.0.1:7"},"\ud800",{"name":"proxy-1","address":"10.0.0.2:7"}]})");
    cr_assert(instances && instances->size() == 1 && instances->front().name == "proxy-1");
}
