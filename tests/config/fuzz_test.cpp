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
constexpr int Rounds{1500};

std::size_t pick(std::mt19937_64 &random, std::size_t count)
{
    return std::uniform_int_distribution<std::size_t>{0, count - 1}(random);
}

/** Applies one random edit: bytes, lines, or markers that YAML gives a meaning. */
void mutate(std::string &text, std::mt19937_64 &random)
{
    static const std::vector<std::string> markers{"&a ", "*a", "!!x ", "{",   "}",  "[", "]", ": ",    "- ",   "\n",   "\t",
                                                  "\"",  "'",  "|\n",  ">\n", "? ", "#", "%", "---\n", "\xff", ".nan", "<<: "};
    const auto position = pick(random, text.size() + 1);
    switch (pick(random, 4)) {
    case 0:
        text.insert(position, markers[pick(random, markers.size())]);
        break;
    case 1:
        text.erase(position, pick(random, 40));
        break;
    case 2:
        text.insert(position, text.substr(pick(random, text.size() + 1), pick(random, 200)));
        break;
    default:
        if (position < text.size()) {
            text[position] = static_cast<char>(pick(random, 256));
        }
    }
}

} // namespace

TEST_CASE("no mutation of a valid set crashes the parser or passes with a fault")
{
    std::mt19937_64 random{Seed};
    int accepted{0};
    int rejected{0};
    for (int round{0}; round < Rounds; ++round) {
        auto text = testing::readExample(testing::ExampleNames[pick(random, 3)]);
        const auto edits = 1 + pick(random, 4);
        for (std::size_t edit{0}; edit < edits; ++edit) {
            mutate(text, random);
        }
        const auto parsed = readConfiguration({{"fuzz.yaml", text}});
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
        CHECK(readConfiguration({{"again.yaml", toYaml(parsed.value)}}).value == parsed.value);
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
    const auto parsed = readConfiguration({{"x", testing::readExample(testing::ExampleNames[0])}});
    const auto bytes = encodeConfiguration(parsed.value);
    int refused{0};
    for (int round{0}; round < Rounds; ++round) {
        auto mutated = bytes;
        mutate(mutated, random);
        std::error_code error;
        const auto decoded = decodeConfiguration(mutated, error);
        CHECK(decoded.has_value() != static_cast<bool>(error));
        refused += decoded ? 0 : 1;
        std::error_code changeError;
        const auto change = decodeChange(mutated, changeError);
        CHECK(change.has_value() != static_cast<bool>(changeError));
    }
    CHECK(refused > 0);
}
