#include "ragwortpin/config/parse.h"

#include "ragwortpin/config/check.h"
#include "ragwortpin/config/limits.h"
#include "ragwortpin/config/yaml_reader.h"

#include <algorithm>
#include <cstddef>
#include <initializer_list>
#include <numeric>
#include <utility>

namespace ragwortpin {

namespace internal {

workspace readObject(yaml_reader &reader, const workspace &defaults)
{
    return {
        .name = reader.readString("name"),
        .rate = reader.readNumber("rate", limits::Rate),
        .burst = reader.readNumber("burst", limits::Burst),
        .weight = reader.readNumber("weight", limits::Weight, defaults.weight),
        .importance = reader.readString("importance", defaults.importance),
    };
}

api_key readObject(yaml_reader &reader, const api_key & /*defaults*/)
{
    return {
        .name = reader.readString("name"),
        .workspace = reader.readString("workspace"),
        .sha256 = reader.readString("sha256"),
    };
}

importance readObject(yaml_reader &reader, const importance & /*defaults*/)
{
    return {
        .name = reader.readString("name"),
        .rank = static_cast<unsigned>(reader.readInteger("rank", limits::Rank)),
    };
}

service readObject(yaml_reader &reader, const service &defaults)
{
    return {
        .name = reader.readString("name"),
        .retryRatio = reader.readNumber("retry_ratio", limits::RetryRatio, defaults.retryRatio),
        .connections = static_cast<std::uint32_t>(reader.readInteger("connections", limits::Connections, defaults.connections)),
    };
}

std::vector<weighted_service> readSplit(yaml_reader &reader)
{
    std::vector<weighted_service> split;
    for (auto &part : reader.readMappings("split", "part")) {
        split.push_back({part.readString("service"), part.readNumber("weight", limits::Weight, weighted_service{}.weight)});
        part.finish();
    }
    return split;
}

route readObject(yaml_reader &reader, const route &defaults)
{
    return {
        .name = reader.readString("name"),
        .method = reader.readString("method", defaults.method),
        .path = reader.readString("path"),
        .service = reader.has("split") ? reader.readString("service", defaults.service) : reader.readString("service"),
        .importance = reader.readString("importance"),
        .open = reader.readBool("open", defaults.open),
        .once = reader.readBool("once", defaults.once),
        .retryable = reader.readBool("retryable", defaults.retryable),
        .deadline = reader.readMilliseconds("deadline_ms", limits::Deadline, defaults.deadline),
        .host = reader.readString("host", defaults.host),
        .belowOnly = reader.readBool("below_only", defaults.belowOnly),
        .split = readSplit(reader),
        .attempts = static_cast<unsigned>(reader.readInteger("attempts", limits::Attempts, defaults.attempts)),
        .latencyObjective = reader.readMilliseconds("latency_objective_ms", limits::LatencyObjective, defaults.latencyObjective),
    };
}

availability_zone readObject(yaml_reader &reader, const availability_zone & /*defaults*/)
{
    return {
        .name = reader.readString("name"),
        .region = reader.readString("region"),
        .share = reader.readNumber("share", limits::Share),
    };
}

/** Fields whose lines are recorded, so that checkConfiguration() can report problems at them. */
constexpr std::initializer_list<const char *> CheckedFields{
    "name",    "rate",       "burst", "weight", "workspace",   "sha256",      "rank", "retry_ratio", "method",   "path",
    "service", "importance", "open",  "once",   "deadline_ms", "connections", "host", "split",       "attempts", "latency_objective_ms",
    "region",  "share"};

object_source makeSource(const yaml_reader &reader, const std::string &file, const std::string &name)
{
    object_source source{name, file, reader.line(), {}};
    for (const auto *field : CheckedFields) {
        if (reader.has(field)) {
            source.fields.push_back({field, reader.line(field)});
        }
    }
    return source;
}

void readObjects(const configuration_text &text, yaml_reader &root, parsed_configuration &result)
{
    visitObjects(result.value, [&]<typename Object>(object_kind kind, std::vector<Object> &objects) {
        const auto &texts = describe(kind);
        auto &sources = result.sources.kinds[static_cast<std::size_t>(kind)];
        for (auto &reader : root.readMappings(texts.listName, texts.singular)) {
            objects.push_back(readObject(reader, Object{}));
            reader.finish();
            sources.push_back(makeSource(reader, text.file, objects.back().name));
        }
    });
    root.finish();
}

template<typename Value>
void applyPermutation(std::vector<Value> &values, const std::vector<std::size_t> &order)
{
    std::vector<Value> sorted;
    sorted.reserve(values.size());
    for (const auto index : order) {
        sorted.push_back(std::move(values[index]));
    }
    values = std::move(sorted);
}

/** Sorts objects by name and applies the same order to their sources. */
void sortWithSources(parsed_configuration &result)
{
    visitObjects(result.value, [&result](object_kind kind, auto &objects) {
        std::vector<std::size_t> order(objects.size());
        std::iota(order.begin(), order.end(), std::size_t{0});
        std::stable_sort(order.begin(), order.end(), [&objects](std::size_t left, std::size_t right) {
            return objects[left].name < objects[right].name;
        });
        applyPermutation(objects, order);
        applyPermutation(result.sources.kinds[static_cast<std::size_t>(kind)], order);
    });
}

bool isLineReported(const config_problem &problem, const std::vector<config_problem> &reported)
{
    return std::any_of(reported.begin(), reported.end(), [&problem](const config_problem &other) {
        return other.file == problem.file && other.line == problem.line;
    });
}

struct parse_outcome
{
    parsed_configuration result;
    /** Whether every file is valid YAML with a mapping as its root. */
    bool allFilesParsed{true};
};

parse_outcome parseFiles(const std::vector<configuration_text> &texts)
{
    parse_outcome outcome;
    for (const auto &text : texts) {
        const auto root = loadYaml(text.file, text.text, outcome.result.problems);
        if (!root) {
            outcome.allFilesParsed = false;
            continue;
        }
        yaml_reader reader{text.file, "file", *root, outcome.result.problems};
        outcome.allFilesParsed = outcome.allFilesParsed && root->IsMap();
        readObjects(text, reader, outcome.result);
    }
    sortWithSources(outcome.result);
    sortProblems(outcome.result.problems);
    return outcome;
}

} // namespace internal

void sortObjects(configuration &value)
{
    visitObjects(value, [](object_kind, auto &objects) {
        std::stable_sort(objects.begin(), objects.end(), [](const auto &left, const auto &right) {
            return left.name < right.name;
        });
    });
}

parsed_configuration parseConfiguration(const std::vector<configuration_text> &texts)
{
    return internal::parseFiles(texts).result;
}

parsed_configuration parseAndCheckConfiguration(const std::vector<configuration_text> &texts)
{
    auto [result, allFilesParsed] = internal::parseFiles(texts);
    if (!allFilesParsed) {
        return result;
    }
    const auto reported = result.problems;
    for (auto &problem : checkConfiguration(result.value, result.sources)) {
        // A field that could not be read has an empty or default value, which the checks may report again at the same line, for
        // example as an undefined reference.
        if (!internal::isLineReported(problem, reported)) {
            result.problems.push_back(std::move(problem));
        }
    }
    sortProblems(result.problems);
    return result;
}

} // namespace ragwortpin
