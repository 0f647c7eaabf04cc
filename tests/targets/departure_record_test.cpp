#include "ragwortpin/targets/departure_record.h"

#include <catch2/catch.hpp>
#include <rapidcheck/catch.h>

#include <string>
#include <vector>

using namespace ragwortpin;

TEST_CASE("a stored departure is read as it was written")
{
    rc::prop("round trip", [](std::uint64_t startedAt, std::uint64_t sequence, bool hasEnded) {
        const departure_record record{"i-7f3a91c2", startedAt, sequence, hasEnded};
        RC_ASSERT(decodeDeparture(encodeDeparture(record)) == record);
    });
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
        R"({"incarnation":"i-1","started_at_ms":1,"sequence":1,"ended":true,"earlier":)" + std::string(3000, '['),
    };
    for (const auto &text : malformed) {
        CAPTURE(text);
        CHECK_FALSE(decodeDeparture(text));
        const auto reading = readDeparture(
            [&text](const store_request &) {
                return store_reply{{}, true, 1, {{"key", text, 1}}};
            },
            "key");
        CHECK(reading.isMalformed);
        CHECK_FALSE(reading.record);
    }
}
