#include "ragwortpin/config/yaml_reader.h"

#include <catch2/catch.hpp>

#include <string>

using namespace ragwortpin;

namespace {

struct rejected_text
{
    std::string name;
    std::string text;
    int line;
    std::string message;
};

std::string nestedLists(int depth)
{
    return std::string(static_cast<std::size_t>(depth), '[') + std::string(static_cast<std::size_t>(depth), ']');
}

} // namespace

TEST_CASE("YAML that exceeds the limits or has unsupported features is rejected with its line")
{
    const std::vector<rejected_text> cases{
        {"alias", "a: &x 1\nb: *x\n", 1, "anchors"},
        {"unknown alias", "a: *x\n", 1, ""},
        {"anchor on a list", "a:\n  &x [1]\n", 2, "anchors"},
        {"deep", "a: " + nestedLists(40) + "\n", 1, "nested deeper"},
        {"very deep", "a: " + nestedLists(100'000) + "\n", 1, "nested deeper"},
        {"two documents", "a: 1\n---\nb: 1\n", 2, "more than one document"},
        {"tag", "a: !!binary aGVsbG8=\n", 1, "tag"},
        {"syntax", "a: 1\nb: [1\n", 3, "not valid YAML"},
        {"long", std::string(2UL * 1024 * 1024, 'a'), 0, "more than 1048576"},
    };
    for (const auto &item : cases) {
        CAPTURE(item.name);
        std::vector<config_problem> problems;
        CHECK_FALSE(loadYaml("f.yaml", item.text, problems).has_value());
        REQUIRE(problems.size() == 1);
        CAPTURE(toText(problems[0]));
        CHECK(problems[0].file == "f.yaml");
        CHECK(problems[0].line == item.line);
        CHECK(problems[0].message.find(item.message) != std::string::npos);
        CHECK_FALSE(problems[0].remedy.empty());
    }
}

TEST_CASE("a reader returns values and collects every problem of a mapping")
{
    std::vector<config_problem> problems;
    const auto root = loadYaml("f.yaml",
                               "name: node-1\n"
                               "ratio: .inf\n"
                               "count: 70000\n"
                               "open: yes\n"
                               "wait_ms: 250\n"
                               "peers: [a, b]\n"
                               "nested:\n  port: 80\n"
                               "cuont: 3\n"
                               "name: again\n"
                               "empty:\n",
                               problems);
    REQUIRE(root.has_value());
    yaml_reader reader{"f.yaml", "settings", *root, problems};
    CHECK(reader.readString("name") == "node-1");
    CHECK(reader.readNumber("ratio", {0.0, 1.0}, 0.5) == 0.5);
    CHECK(reader.readInteger("count", {1, 65535}) == 1);
    CHECK_FALSE(reader.readBool("open"));
    CHECK(reader.readMilliseconds("wait_ms", {milliseconds{1}, milliseconds{1000}}) == milliseconds{250});
    CHECK(reader.readStrings("peers") == std::vector<std::string>{"a", "b"});
    auto nestedReader = reader.readMapping("nested");
    REQUIRE(nestedReader.has_value());
    CHECK(nestedReader->readInteger("port", {1, 65535}) == 80);
    nestedReader->finish();
    CHECK(reader.readString("empty", "fallback") == "fallback");
    CHECK(reader.readString("missing").empty());
    reader.finish();
    sortProblems(problems);
    std::vector<std::string> texts;
    texts.reserve(problems.size());
    for (const auto &problem : problems) {
        texts.push_back(toText(problem));
    }
    CHECK(texts
          == std::vector<std::string>{
              "f.yaml:1: settings: field 'missing' is missing; add 'missing: VALUE'",
              "f.yaml:2: settings: field 'ratio' is '.inf'; write a number from 0 to 1",
              "f.yaml:3: settings: field 'count' is '70000'; write a whole number from 1 to 65535",
              "f.yaml:4: settings: field 'open' is 'yes'; write true or false",
              "f.yaml:9: settings: field 'cuont' is unknown; did you mean 'count'?",
              "f.yaml:10: settings: field 'name' is given twice; remove one of the two lines",
              "f.yaml:11: settings: field 'empty' has no value; give it a value or remove the line",
          });
}
