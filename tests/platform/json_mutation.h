#ifndef RAGWORTPIN_TESTS_PLATFORM_JSON_MUTATION_H
#define RAGWORTPIN_TESTS_PLATFORM_JSON_MUTATION_H

#include <json/json.h>

#include <limits>
#include <memory>
#include <random>
#include <string>
#include <utility>
#include <vector>

namespace ragwortpin::test {

/** Returns a value of another type or at the limit of its range. */
inline Json::Value strangeValue(std::mt19937_64 &random)
{
    const std::vector<Json::Value> values{Json::Value{Json::nullValue},
                                          Json::Value{true},
                                          Json::Value{-1},
                                          Json::Value{0},
                                          Json::Value{std::numeric_limits<Json::Int64>::min()},
                                          Json::Value{std::numeric_limits<Json::UInt64>::max()},
                                          Json::Value{1e308},
                                          Json::Value{0.5},
                                          Json::Value{""},
                                          Json::Value{"1e999ms"},
                                          Json::Value{"99999999999999999999s"},
                                          Json::Value{std::string(300, 'x')},
                                          Json::Value{std::string{"\xff\xfe\0\x80", 4}},
                                          Json::Value{Json::arrayValue},
                                          Json::Value{Json::objectValue}};
    return values[random() % values.size()];
}

/** Replaces, removes, duplicates or wraps values at random places of a tree. */
inline void mutate(Json::Value &value, std::mt19937_64 &random)
{
    constexpr unsigned Choices{6};
    const bool hasMembers{(value.isObject() || value.isArray()) && !value.empty()};
    const auto choice = random() % Choices;
    if (!hasMembers || choice == 0) {
        value = strangeValue(random);
        return;
    }
    if (value.isArray()) {
        const auto index = static_cast<Json::ArrayIndex>(random() % value.size());
        if (choice == 1) {
            Json::Value removed;
            value.removeIndex(index, &removed);
        } else if (choice == 2) {
            value.append(value[index]);
        } else {
            mutate(value[index], random);
        }
        return;
    }
    const auto names = value.getMemberNames();
    const auto &name = names[random() % names.size()];
    if (choice == 1) {
        value.removeMember(name);
    } else if (choice == 2) {
        value[names[random() % names.size()]] = Json::Value{value[name]};
    } else {
        mutate(value[name], random);
    }
}

/** Returns a text that differs from a valid JSON text in up to three values, and at times in bytes. */
inline std::string mutatedJson(const std::string &text, std::mt19937_64 &random)
{
    Json::CharReaderBuilder readerBuilder;
    const std::unique_ptr<Json::CharReader> reader{readerBuilder.newCharReader()};
    Json::Value value;
    std::string problems;
    reader->parse(text.data(), text.data() + text.size(), &value, &problems);
    for (auto count = 1 + random() % 3; count > 0; --count) {
        mutate(value, random);
    }
    Json::StreamWriterBuilder writer;
    writer["indentation"] = "";
    auto mutated = Json::writeString(writer, value);
    constexpr unsigned ByteMutationPeriod{4};
    if (random() % ByteMutationPeriod == 0 && !mutated.empty()) {
        mutated[random() % mutated.size()] = static_cast<char>(random());
        mutated.resize(random() % (mutated.size() + 1));
    }
    return mutated;
}

} // namespace ragwortpin::test

#endif
