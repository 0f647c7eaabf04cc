#include "config/examples.h"

#include "ragwortpin/config/check.h"
#include "ragwortpin/config/lookup.h"
#include "ragwortpin/config/parse.h"
#include "ragwortpin/config/serialise.h"

#include <catch2/catch.hpp>

#include <random>
#include <string>

using namespace ragwortpin;

namespace {

constexpr std::uint64_t Seed{20261204};
constexpr int Iterations{1500};

std::size_t randomIndex(std::mt19937_64 &random, std::size_t count)
{
    return std::uniform_int_distribution<std::size_t>{0, count - 1}(random);
}

/** Applies one random edit: inserts a YAML token, erases or duplicates a range, or replaces a byte. */
void mutate(std::string &text, std::mt19937_64 &random)
{
    static const std::vector<std::string> yamlTokens{"&a ", "*a", "!!x ", "{",   "}",  "[", "]", ": ",    "- ",   "\n",   "\t",
                                                     "\"",  "'",  "|\n",  ">\n", "? ", "#", "%", "---\n", "\xff", ".nan", "<<: "};
    const auto position = randomIndex(random, text.size() + 1);
    switch (randomIndex(random, 4)) {
    case 0:
        text.insert(position, yamlTokens[randomIndex(random, yamlTokens.size())]);
        break;
    case 1:
        text.erase(position, randomIndex(random, 40));
        break;
    case 2:
        text.insert(position, text.substr(randomIndex(random, text.size() + 1), randomIndex(random, 200)));
        break;
    default:
        if (position < text.size()) {
            text[position] = static_cast<char>(randomIndex(random, 256));
        }
    }
}

} // namespace

TEST_CASE("no mutation of a valid configuration crashes the parser or is accepted although it is invalid")
{
    std::mt19937_64 random{Seed};
    int accepted{0};
    int rejected{0};
    for (int iteration{0}; iteration < Iterations; ++iteration) {
        auto text = testing::readExample(testing::ExampleNames[randomIndex(random, 3)]);
        const auto edits = 1 + randomIndex(random, 4);
        for (std::size_t edit{0}; edit < edits; ++edit) {
            mutate(text, random);
        }
        const auto parsed = parseAndCheckConfiguration({{"fuzz.yaml", text}});
        if (!parsed.problems.empty()) {
            ++rejected;
            for (const auto &problem : parsed.problems) {
                CHECK_FALSE(problem.message.empty());
                CHECK_FALSE(problem.remedy.empty());
            }
            continue;
        }
        ++accepted;
        CHECK(checkConfiguration(parsed.value).empty());
        CHECK(parseAndCheckConfiguration({{"again.yaml", toYaml(parsed.value)}}).value == parsed.value);
        const auto index = buildIndex(parsed.value);
        CHECK(index->routes.size() == parsed.value.routes.size());
        CHECK(index->keys.size() == parsed.value.keys.size());
    }
    CAPTURE(accepted, rejected);
    CHECK(accepted > 0);
    CHECK(rejected > accepted);
}

TEST_CASE("no mutation of an encoding crashes the decoder")
{
    std::mt19937_64 random{Seed};
    const auto parsed = parseAndCheckConfiguration({{"x", testing::readExample(testing::ExampleNames[0])}});
    const auto bytes = encodeConfiguration(parsed.value);
    int rejectedEncodings{0};
    for (int iteration{0}; iteration < Iterations; ++iteration) {
        auto mutated = bytes;
        mutate(mutated, random);
        std::error_code error;
        const auto decoded = decodeConfiguration(mutated, error);
        CHECK(decoded.has_value() != static_cast<bool>(error));
        rejectedEncodings += decoded ? 0 : 1;
        std::error_code changeError;
        const auto change = decodeChange(mutated, changeError);
        CHECK(change.has_value() != static_cast<bool>(changeError));
    }
    CHECK(rejectedEncodings > 0);
}
