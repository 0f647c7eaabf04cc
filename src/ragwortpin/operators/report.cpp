#include "ragwortpin/operators/report.h"

#include "ragwortpin/http/address.h"

#include <jsoncpp/json/writer.h>

#include <array>
#include <ctime>

namespace ragwortpin {

namespace internal {

Json::Value toJsonFields(const availability_zone &item)
{
    Json::Value value{Json::objectValue};
    value["region"] = item.region;
    value["share"] = item.share;
    return value;
}

Json::Value toJsonFields(const importance &item)
{
    Json::Value value{Json::objectValue};
    value["rank"] = item.rank;
    return value;
}

Json::Value toJsonFields(const workspace &item)
{
    Json::Value value{Json::objectValue};
    value["rate"] = item.rate;
    value["burst"] = item.burst;
    value["weight"] = item.weight;
    return value;
}

Json::Value toJsonFields(const api_key &item)
{
    Json::Value value{Json::objectValue};
    value["workspace"] = item.workspace;
    value["sha256"] = item.sha256;
    return value;
}

Json::Value toJsonFields(const service &item)
{
    Json::Value value{Json::objectValue};
    value["retry_ratio"] = item.retryRatio;
    return value;
}

Json::Value toJsonFields(const route &item)
{
    Json::Value value{Json::objectValue};
    value["method"] = item.method;
    value["path"] = item.path;
    value["service"] = item.service;
    value["importance"] = item.importance;
    value["open"] = item.open;
    value["once"] = item.once;
    value["retryable"] = item.retryable;
    value["deadline_ms"] = static_cast<Json::Int64>(item.deadline.count());
    return value;
}

Json::Value toJson(const object_ref &object)
{
    Json::Value value{Json::objectValue};
    value["kind"] = std::string{describe(object.kind).singular};
    value["name"] = object.name;
    return value;
}

std::string padRight(std::string text, std::size_t width)
{
    text.resize(std::max(text.size(), width), ' ');
    return text + "  ";
}

const char *changePrefix(change_kind kind)
{
    switch (kind) {
    case change_kind::Added:
        return "+ ";
    case change_kind::Changed:
        return "~ ";
    case change_kind::Removed:
        break;
    }
    return "- ";
}

} // namespace internal

std::string writeJson(const Json::Value &value)
{
    Json::StreamWriterBuilder builder;
    builder["indentation"] = "  ";
    return Json::writeString(builder, value) + "\n";
}

std::string formatTime(microseconds sinceEpoch)
{
    const auto time = static_cast<std::time_t>(std::chrono::duration_cast<seconds>(sinceEpoch).count());
    std::tm parts{};
    if (gmtime_r(&time, &parts) == nullptr) {
        return "unknown";
    }
    std::array<char, 64> buffer{};
    const auto size = std::strftime(buffer.data(), buffer.size(), "%Y-%m-%dT%H:%M:%SZ", &parts);
    return {buffer.data(), size};
}

Json::Value toJson(const std::vector<config_problem> &problems)
{
    Json::Value list{Json::arrayValue};
    for (const auto &problem : problems) {
        Json::Value value{Json::objectValue};
        value["file"] = problem.file;
        value["line"] = problem.line;
        value["object"] = problem.object;
        value["message"] = problem.message;
        value["remedy"] = problem.remedy;
        list.append(value);
    }
    return list;
}

Json::Value toJson(const std::vector<object_change> &changes)
{
    Json::Value list{Json::arrayValue};
    for (const auto &change : changes) {
        auto value = internal::toJson(change.object);
        value["change"] = std::string{toToken(change.change)};
        list.append(value);
    }
    return list;
}

Json::Value toJson(const configuration &value)
{
    Json::Value result{Json::objectValue};
    result["revision"] = static_cast<Json::UInt64>(value.revision);
    visitObjects(value, [&result](object_kind kind, const auto &objects) {
        Json::Value list{Json::arrayValue};
        for (const auto &object : objects) {
            auto fields = internal::toJsonFields(object);
            fields["name"] = object.name;
            list.append(fields);
        }
        result[std::string{describe(kind).listName}] = list;
    });
    return result;
}

Json::Value toJson(const std::vector<publication_entry> &history)
{
    Json::Value list{Json::arrayValue};
    for (const auto &entry : history) {
        Json::Value value{Json::objectValue};
        value["revision"] = static_cast<Json::UInt64>(entry.revision);
        value["publication_id"] = entry.publicationId;
        value["author"] = entry.author;
        value["published_at"] = formatTime(entry.publishedAt);
        value["summary"] = entry.summary;
        list.append(value);
    }
    return list;
}

Json::Value toJson(const std::vector<node_report> &reports, std::uint64_t newest)
{
    Json::Value list{Json::arrayValue};
    for (const auto &report : reports) {
        Json::Value value{Json::objectValue};
        value["address"] = toText(report.address);
        if (!report.problem.empty()) {
            value["problem"] = report.problem;
            list.append(value);
            continue;
        }
        value["instance"] = report.instance;
        value["availability_zone"] = report.availabilityZone;
        value["service"] = report.service;
        value["state"] = report.state;
        value["revision"] = static_cast<Json::UInt64>(report.revision);
        value["behind"] = report.revision < newest;
        list.append(value);
    }
    return list;
}

Json::Value toJson(const publication_result &result)
{
    Json::Value value{Json::objectValue};
    value["status"] = std::string{toToken(result.status)};
    value["revision"] = static_cast<Json::UInt64>(result.revision);
    value["rebased"] = result.rebased;
    value["changes"] = toJson(result.changes);
    value["problems"] = toJson(result.problems);
    value["error"] = result.error ? result.error.message() : "";
    value["conflicts"] = Json::Value{Json::arrayValue};
    for (const auto &object : result.conflicts) {
        value["conflicts"].append(internal::toJson(object));
    }
    return value;
}

std::string toText(const std::vector<object_change> &changes)
{
    std::string text;
    for (const auto &change : changes) {
        text += internal::changePrefix(change.change) + toText(change.object) + "\n";
    }
    return text;
}

std::string toText(const std::vector<publication_entry> &history)
{
    constexpr std::size_t RevisionWidth{8};
    constexpr std::size_t AuthorWidth{16};
    std::string text;
    for (const auto &entry : history) {
        text += internal::padRight(std::to_string(entry.revision), RevisionWidth) + formatTime(entry.publishedAt) + "  "
            + internal::padRight(entry.author, AuthorWidth) + entry.summary + "\n";
    }
    return text;
}

std::string toText(const std::vector<node_report> &reports)
{
    constexpr std::size_t AddressWidth{21};
    constexpr std::size_t InstanceWidth{16};
    constexpr std::size_t StateWidth{8};
    std::string text;
    for (const auto &report : reports) {
        text += internal::padRight(toText(report.address), AddressWidth);
        if (!report.problem.empty()) {
            text += report.problem + "\n";
            continue;
        }
        text += internal::padRight(report.instance, InstanceWidth) + internal::padRight(report.availabilityZone, InstanceWidth)
            + internal::padRight(report.service, InstanceWidth) + internal::padRight(report.state, StateWidth) + "revision "
            + std::to_string(report.revision) + "\n";
    }
    return text;
}

} // namespace ragwortpin
