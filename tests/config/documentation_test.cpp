#include "config/examples.h"

#include "ragwortpin/config/parse.h"
#include "ragwortpin/config/serialise.h"

#include <catch2/catch.hpp>

#include <string>

using namespace ragwortpin;

TEST_CASE("the configuration page contains the complete examples and documents every field")
{
    const auto page = testing::readExample("../docs/operations/configuration.md");
    CHECK(page.find("```yaml\n" + testing::readExample("khelachitra/configuration.yaml") + "```") != std::string::npos);
    CHECK(page.find("```yaml\n" + testing::readExample("confetti-cove/configuration.yaml") + "```") != std::string::npos);
    const auto text = toYaml(parseAndCheckConfiguration({{"x", testing::readExample("khelachitra/configuration.yaml")}}).value);
    for (std::size_t colon = text.find(':'); colon != std::string::npos; colon = text.find(':', colon + 1)) {
        const auto begin = text.find_last_of(" \n", colon) + 1;
        const auto field = text.substr(begin, colon - begin);
        CAPTURE(field);
        const bool isList = page.find("## " + field) != std::string::npos;
        CHECK((isList || page.find("| `" + field + "` |") != std::string::npos));
    }
}
