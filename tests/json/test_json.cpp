// Tests of locating keys and of the reader that collects all faults.
#include "json/document.h"
#include "json/nearest.h"

#include <criterion/criterion.h>
#include <rapidcheck.h>

using namespace cardamomstep;
using namespace cardamomstep::json;

Test(json, keysAndElementsAreLocated)
{
    const auto lines = locateKeys("{\n \"a\": {\n  \"b\": 1\n },\n \"c\": [\n  1\n ,\n  {\"d\": 2}]\n}");
    cr_assert(bool(lines));
    cr_assert(lines->line("a") == 2);
    cr_assert(lines->line("a.b") == 3);
    cr_assert(lines->line("c") == 5);
    cr_assert(lines->line("c[0]") == 6);
    cr_assert(lines->line("c[1]") == 8);
    cr_assert(lines->line("c[1].d") == 8);
    cr_assert(lines->line("c[1].missing.deeper") == 8, "a missing key has the line of its parent");
    cr_assert(lines->line("nothing") == 1);
}

Test(json, everyElementIsLocatedOnItsLine)
{
    const bool passed = rc::check("element lines", [](const std::vector<std::uint8_t> &separators) {
        std::string text = "[0";
        std::uint32_t line = 1;
        std::vector<std::uint32_t> expected{1};
        for (const auto separator : separators) {
            text += std::string(separator % 3, '\n') + "," + std::string(separator % 2, '\n') + "1";
            line += separator % 3 + separator % 2;
            expected.push_back(line);
        }
        const auto lines = locateKeys(text + "]");
        RC_ASSERT(bool(lines));
        for (std::size_t index = 0; index < expected.size(); ++index) {
            RC_ASSERT(lines->line(elementPath("", index)) == expected[index]);
        }
    });
    cr_assert(passed);
}

Test(json, duplicateKeysAreFoundInTheirObject)
{
    const auto lines = locateKeys("{\"a\": 1,\n\"b\": {\"a\": 2,\n\"a\": 3},\n\"a\": 4}");
    cr_assert(bool(lines));
    cr_assert(lines->duplicates().size() == 2);
    cr_assert(lines->duplicates()[0].path == "b.a");
    cr_assert(lines->duplicates()[0].line == 3);
    cr_assert(lines->duplicates()[1].path == "a");
    cr_assert(lines->duplicates()[1].line == 4);
}

Test(json, malformedTextReportsItsLine)
{
    for (const char *text : {"{\n\"a\": }", "{\n\"a\"", "\n", "{}\nx", "[1,\n2"}) {
        const auto lines = locateKeys(text);
        cr_assert(!lines, "accepted %s", text);
        cr_assert(lines.error().kind == ErrorKind::MalformedRequest);
        cr_assert(lines.error().position->line >= 1);
    }
    cr_assert(locateKeys("{\n\"a\": }").error().position->line == 2);
}

Test(json, sizeAndDepthAreBounded)
{
    cr_assert(locateKeys("[[1]]", {.maxBytes = 4}).error().kind == ErrorKind::TooLarge);
    cr_assert(bool(locateKeys("[[1]]", {.maxDepth = 2})));
    cr_assert(locateKeys("[[[1]]]", {.maxDepth = 2}).error().kind == ErrorKind::TooLarge);
    const std::string deep(200000, '[');
    cr_assert(locateKeys(deep).error().kind == ErrorKind::TooLarge);
}

Test(json, allFaultsAreCollected)
{
    const auto document = parseDocument("f", "{\"n\": 11,\n\"t\": 5,\n\"w\": \"x\",\n\"typoo\": 1,\n\"o\": []}", ErrorKind::InvalidRecord);
    cr_assert(bool(document));
    std::vector<Fault> faults;
    ObjectReader reader(document->value, "", faults);
    const std::array<std::pair<std::string_view, int>, 2> words{{{"one", 1}, {"two", 2}}};
    cr_assert(reader.number<int>("n", {-5, 10}, 3) == 3);
    cr_assert(reader.text("t", {1, 9}).empty());
    cr_assert(reader.oneOf<int>("w", words, 2) == 2);
    cr_assert(reader.boolean("typo", true));
    cr_assert(reader.object("o").number<unsigned>("needed", {1, 2}) == 1);
    reader.rejectUnknown();
    const auto errors = faultErrors(*document, ErrorKind::InvalidRecord, faults);
    cr_assert(errors.size() == 6);
    const std::uint32_t lines[] = {1, 2, 3, 4, 5, 5};
    for (std::size_t index = 0; index < errors.size(); ++index) {
        cr_assert(errors[index].position->line == lines[index]);
        cr_assert(errors[index].kind == ErrorKind::InvalidRecord);
    }
    cr_assert(errors[3].description == "unknown key; did you mean \"typo\"?");
}

Test(json, numbersOutsideTheirRangeAreFaults)
{
    for (const char *text : {"-1", "256", "1.5", "18446744073709551616", "true", "\"1\"", "null", "1e2"}) {
        const auto value = nlohmann::json::parse(std::string("{\"n\":") + text + "}");
        std::vector<Fault> faults;
        ObjectReader reader(value, "", faults);
        static_cast<void>(reader.number<std::uint8_t>("n", {0, 255}));
        cr_assert(faults.size() == 1, "accepted %s", text);
    }
    const bool passed = rc::check("numbers in range are read", [](std::int64_t number) {
        const nlohmann::json value{{"n", number}};
        std::vector<Fault> faults;
        ObjectReader reader(value, "", faults);
        RC_ASSERT(reader.number<std::int64_t>("n", {}) == number);
        RC_ASSERT(faults.empty());
    });
    cr_assert(passed);
}

Test(json, nearestWordIsSuggested)
{
    const std::vector<std::string> known{"apply", "status", "get"};
    cr_assert(nearestWord("aply", known) == std::optional<std::string>("apply"));
    cr_assert(nearestWord("stauts", known) == std::optional<std::string>("status"));
    cr_assert(!nearestWord("zzzzzz", known));
    cr_assert(!nearestWord(std::string(100000, 'a'), known));
}
