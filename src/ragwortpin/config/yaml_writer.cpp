#include "ragwortpin/config/serialise.h"

#include <yaml-cpp/emitter.h>
#include <yaml-cpp/emittermanip.h>

#include <array>
#include <charconv>

namespace ragwortpin {

namespace internal {

/** Returns the shortest text that is parsed back to the same number. */
std::string numberText(double value)
{
    constexpr std::size_t BufferSize{32};
    std::array<char, BufferSize> buffer{};
    const auto result = std::to_chars(buffer.data(), buffer.data() + buffer.size(), value);
    return {buffer.data(), result.ptr};
}

template<typename Value>
void writeField(YAML::Emitter &output, const char *name, const Value &value)
{
    output << YAML::Key << name << YAML::Value << value;
}

/** Writes a field unless it has its default value. */
template<typename Value>
void writeOptional(YAML::Emitter &output, const char *name, const Value &value, const Value &defaultValue)
{
    if (!(value == defaultValue)) {
        writeField(output, name, value);
    }
}

void writeFields(YAML::Emitter &output, const availability_zone &item)
{
    writeField(output, "region", item.region);
    writeField(output, "share", numberText(item.share));
}

void writeFields(YAML::Emitter &output, const importance &item)
{
    writeField(output, "rank", item.rank);
}

void writeFields(YAML::Emitter &output, const workspace &item)
{
    writeField(output, "rate", numberText(item.rate));
    writeField(output, "burst", numberText(item.burst));
    writeOptional(output, "weight", numberText(item.weight), numberText(workspace{}.weight));
    writeOptional(output, "importance", item.importance, workspace{}.importance);
}

void writeFields(YAML::Emitter &output, const api_key &item)
{
    writeField(output, "workspace", item.workspace);
    writeField(output, "sha256", item.sha256);
}

void writeFields(YAML::Emitter &output, const service &item)
{
    writeOptional(output, "retry_ratio", numberText(item.retryRatio), numberText(service{}.retryRatio));
    writeOptional(output, "connections", item.connections, service{}.connections);
}

void writeSplit(YAML::Emitter &output, const std::vector<weighted_service> &split)
{
    output << YAML::Key << "split" << YAML::Value << YAML::BeginSeq;
    for (const auto &part : split) {
        output << YAML::BeginMap;
        writeField(output, "service", part.service);
        writeField(output, "weight", numberText(part.weight));
        output << YAML::EndMap;
    }
    output << YAML::EndSeq;
}

void writeFields(YAML::Emitter &output, const route &item)
{
    const route defaults;
    writeOptional(output, "method", item.method, defaults.method);
    writeOptional(output, "host", item.host, defaults.host);
    writeField(output, "path", item.path);
    writeOptional(output, "below_only", item.belowOnly, defaults.belowOnly);
    writeOptional(output, "service", item.service, defaults.service);
    if (!item.split.empty()) {
        writeSplit(output, item.split);
    }
    writeField(output, "importance", item.importance);
    writeOptional(output, "open", item.open, defaults.open);
    writeOptional(output, "once", item.once, defaults.once);
    writeOptional(output, "retryable", item.retryable, defaults.retryable);
    writeField(output, "deadline_ms", item.deadline.count());
    writeOptional(output, "attempts", item.attempts, defaults.attempts);
    writeOptional(output, "latency_objective_ms", item.latencyObjective.count(), defaults.latencyObjective.count());
}

} // namespace internal

std::string toYaml(const configuration &value)
{
    YAML::Emitter output;
    output << YAML::BeginMap;
    visitObjects(value, [&output](object_kind kind, const auto &objects) {
        output << YAML::Key << std::string{describe(kind).listName} << YAML::Value << YAML::BeginSeq;
        for (const auto &object : objects) {
            output << YAML::BeginMap;
            internal::writeField(output, "name", object.name);
            internal::writeFields(output, object);
            output << YAML::EndMap;
        }
        output << YAML::EndSeq;
    });
    output << YAML::EndMap;
    return std::string{output.c_str()} + "\n";
}

} // namespace ragwortpin
