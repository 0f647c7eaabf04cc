#include "ragwortpin/core/outcome.h"

#include <catch2/catch.hpp>

#include <cstddef>

using namespace ragwortpin;

TEST_CASE("refusal descriptions follow the order of the enumeration")
{
    for (std::size_t index{0}; index < RefusalDescriptions.size(); ++index) {
        const auto kind = static_cast<refusal_kind>(index);
        CAPTURE(index);
        CHECK(describe(kind).kind == kind);
        CHECK(parseRefusal(describe(kind).token) == kind);
        CHECK_FALSE(describe(kind).message.empty());
    }
    CHECK_FALSE(parseRefusal("nonsense").has_value());
}

TEST_CASE("outcome tokens round-trip and an unrecognised token is parsed as unknown")
{
    CHECK(parseOutcome(toToken(outcome::NotRun)) == outcome::NotRun);
    CHECK(parseOutcome(toToken(outcome::Ran)) == outcome::Ran);
    CHECK(parseOutcome("garbage") == outcome::Unknown);
}
