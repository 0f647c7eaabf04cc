#include "ragwortpin/targets/departure_record.h"

#include <catch2/catch.hpp>
#include <rapidcheck/catch.h>

#include <string>
#include <vector>

using namespace ragwortpin;

TEST_CASE("stored departures are read as they were written")
{
    rc::prop("round trip", [] {
        std::vector<departure_record> records;
        const auto count = *rc::gen::inRange<std::size_t>(1, MaxStoredDepartures + 1);
        for (std::size_t index{0}; index < count; ++index) {
            records.push_back({"i-" + std::to_string(index),
                               *rc::gen::arbitrary<std::uint64_t>(),
                               *rc::gen::arbitrary<std::uint64_t>(),
                               *rc::gen::arbitrary<bool>()});
        }
        RC_ASSERT(decodeDepartures(encodeDepartures(records)) == records);
    });
}

TEST_CASE("a departure stored by an earlier version is read")
{
    CHECK(decodeDepartures(R"({"ended":true,"incarnation":"i-1","sequence":4,"started_at_ms":200})")
          == std::vector<departure_record>{{"i-1", 200, 4, true}});
}

TEST_CASE("departures are added to the stored ones")
{
    struct merge_case
    {
        std::string name;
        std::vector<departure_record> stored;
        departure_record added;
        std::vector<departure_record> merged;
    };
    const departure_record drains{"b", 200, 5, false};
    const departure_record ended{"b", 200, 5, true};
    const departure_record other{"a", 100, 5, true};
    const std::vector<merge_case> cases{
        {"the first", {}, drains, {drains}},
        {"another target", {other}, drains, {other, drains}},
        {"the same again", {drains, other}, drains, {drains, other}},
        {"a drain that is followed by the end", {drains, other}, ended, {ended, other}},
        {"a drain after the end", {ended}, drains, {ended}},
        {"a drain after the drain was revoked", {drains}, {"b", 200, 9, false}, {{"b", 200, 9, false}}},
        {"the drain of a later start", {ended}, {"b", 300, 1, false}, {{"b", 300, 1, false}}},
        {"the end of an earlier start", {{"b", 300, 1, false}}, ended, {{"b", 300, 1, false}}},
        {"the end of a start that was not announced again", {drains}, {"b", 250, 0, true}, {{"b", 250, 5, true}}},
    };
    for (const auto &entry : cases) {
        CAPTURE(entry.name);
        CHECK(mergeDepartures(entry.stored, {entry.added}) == entry.merged);
    }
}

TEST_CASE("any number of departures of targets that were never announced leaves those of announced ones stored")
{
    const departure_record announced{"b", 200, 5, true};
    std::vector<departure_record> records{announced};
    for (unsigned index{0}; index < 1000; ++index) {
        records = mergeDepartures(records, {{"x" + std::to_string(index), 300, 0, true}});
        REQUIRE(records.size() <= MaxStoredDepartures);
    }
    CHECK(records.front() == announced);
    CHECK(records.back().incarnation == "x999");
}

TEST_CASE("a stored text that is no departure names no target")
{
    const std::vector<std::string> malformed{
        "",
        "[]",
        "null",
        R"({"incarnation":"i-1"})",
        R"({"incarnation":7,"started_at_ms":1,"sequence":1,"ended":true})",
        R"({"incarnation":"i-1","started_at_ms":-1,"sequence":1,"ended":true})",
        R"({"incarnation":"i-1","started_at_ms":1,"sequence":1,"ended":"yes"})",
        R"({"incarnation":"","started_at_ms":1,"sequence":1,"ended":true})",
        "{\"incarnation\":\"\xed\xa0\x80\",\"started_at_ms\":1,\"sequence\":1,\"ended\":true}",
        R"({"incarnation":"i-1","started_at_ms":1,"sequence":1,"ended":true)",
        R"({"incarnation":"i-1","started_at_ms":1,"sequence":1,"ended":true,"earlier":{}})",
        R"({"incarnation":"i-1","started_at_ms":1,"sequence":1,"ended":true,"earlier":[7]})",
        R"({"incarnation":"i-1","started_at_ms":1,"sequence":1,"ended":true,"earlier":)" + std::string(3000, '['),
    };
    for (const auto &text : malformed) {
        CAPTURE(text);
        CHECK_FALSE(decodeDepartures(text));
        const auto reading = readDepartures(
            [&text](const store_request &) {
                return store_reply{{}, true, 1, {{"key", text, 1}}};
            },
            "key");
        CHECK(reading.isMalformed);
        CHECK(reading.records.empty());
        CHECK(reading.revision == 1);
    }
}
