#include "ragwortpin/rights/messages.h"
#include "ragwortpin/rights/slots.h"

#include <catch2/catch.hpp>
#include <rapidcheck/catch.h>

#include <limits>
#include <string>
#include <vector>

using namespace ragwortpin;

namespace {

const time_point SentAt{microseconds{123'456'789}};

std::vector<rights_body> sampleBodies()
{
    return {
        loan_offer{{"large", "small"}},
        loan_request{SentAt, {{"large", 7, true}, {"small", 8, false}}},
        loan_grant{SentAt, 99, {{"large", 7, true, 12.5, 30, 4.0}, {"small", 8, false, 0.0, 0, 0.25}}},
        loan_return{{{"large", 7, 3.5, 2}}},
        loan_recall{{"large"}},
        batch_request{"large", 5, 4, 3, 2, 1, 1, SentAt},
        batch_grant{"large", 5, 99, 3, 1, SentAt, milliseconds{20}, milliseconds{500}, true},
    };
}

std::error_code decodeError(const std::string &bytes)
{
    std::error_code error;
    (void)decodeRightsMessage(bytes, error);
    return error;
}

} // namespace

TEST_CASE("every message is unchanged after encoding and decoding", "[rights]")
{
    for (const auto &body : sampleBodies()) {
        CAPTURE(body.index());
        const rights_message message{"node-1", 42, body};
        std::error_code error;
        CHECK(decodeRightsMessage(encodeRightsMessage(message), error) == message);
        CHECK_FALSE(error);
    }
}

TEST_CASE("messages with too many bytes or too many items are rejected", "[rights]")
{
    loan_offer longNames;
    longNames.workspaces.assign(MaxRightsMessageItems, std::string(MaxRightsNameBytes, 'w'));
    CHECK(decodeError(encodeRightsMessage({"node", 1, longNames})) == rights_errc::MessageTooLong);
    loan_offer tooMany;
    tooMany.workspaces.assign(MaxRightsMessageItems + 1, "w");
    CHECK(decodeError(encodeRightsMessage({"node", 1, tooMany})) == rights_errc::MessageMalformed);
}

TEST_CASE("malformed messages set MessageMalformed", "[rights]")
{
    const auto negative = encodeRightsMessage({"node", 1, loan_return{{{"w", 1, -1.0, 0}}}});
    const auto infinite = encodeRightsMessage({"node", 1, loan_return{{{"w", 1, std::numeric_limits<double>::infinity(), 0}}}});
    for (const auto &bytes :
         {std::string{}, std::string{"\x94"}, std::string{"\xc0"}, std::string{"\xdd\xff\xff\xff\xff"}, negative, infinite}) {
        CHECK(decodeError(bytes) == rights_errc::MessageMalformed);
    }
    for (const auto &body : sampleBodies()) {
        const auto encoded = encodeRightsMessage({"node-1", 42, body});
        CHECK(decodeError(encoded + 'x') == rights_errc::MessageMalformed);
        for (std::size_t size{0}; size < encoded.size(); ++size) {
            CHECK(decodeError(encoded.substr(0, size)) == rights_errc::MessageMalformed);
        }
    }
}

TEST_CASE("the decoders accept or reject arbitrary bytes without a crash", "[rights]")
{
    rc::prop("bytes", [](const std::string &bytes) {
        std::error_code error;
        const auto message = decodeRightsMessage(bytes, error);
        RC_ASSERT(error || encodeRightsMessage(message).size() <= MaxRightsMessageBytes);
        std::error_code recordError;
        const auto record = decodeSlotRecord(bytes, recordError);
        RC_ASSERT(recordError || decodeSlotRecord(encodeSlotRecord(record), error) == record);
    });
}

TEST_CASE("slot keys contain the availability zone and the index", "[rights]")
{
    std::error_code error;
    CHECK(parseSlotKey(slotKey({"zone-1", 12}), error) == slot_id{"zone-1", 12});
    CHECK_FALSE(error);
    for (const std::string key :
         {"", "ragwortpin/slots/", "ragwortpin/slots/a", "ragwortpin/slots/a/", "ragwortpin/slots/a/1x", "other/a/1"}) {
        CAPTURE(key);
        (void)parseSlotKey(key, error);
        CHECK(error == rights_errc::RecordMalformed);
    }
}
