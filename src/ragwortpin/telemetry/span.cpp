#include "ragwortpin/telemetry/span.h"

#include <json/json.h>

#include <string_view>

namespace ragwortpin {

namespace {

/** SPAN_KIND_SERVER of OTLP. */
constexpr int ServerSpanKind{2};
constexpr std::int64_t NanosecondsPerMicrosecond{1000};

Json::Value makeAttribute(const char *key, std::string_view value)
{
    Json::Value entry;
    entry["key"] = key;
    entry["value"]["stringValue"] = std::string{value};
    return entry;
}

std::string toNanoseconds(microseconds time)
{
    return std::to_string(time.count() * NanosecondsPerMicrosecond);
}

Json::Value toJson(const span &value)
{
    Json::Value entry;
    entry["traceId"] = value.trace.traceId;
    entry["spanId"] = value.trace.spanId;
    if (!value.parentSpanId.empty()) {
        entry["parentSpanId"] = value.parentSpanId;
    }
    entry["name"] = value.name;
    entry["kind"] = ServerSpanKind;
    entry["startTimeUnixNano"] = toNanoseconds(value.start);
    entry["endTimeUnixNano"] = toNanoseconds(value.end);
    entry["attributes"].append(makeAttribute("http.route", value.route));
    entry["attributes"].append(makeAttribute("ragwortpin.workspace", value.workspace));
    entry["attributes"].append(makeAttribute("ragwortpin.outcome", toToken(value.result)));
    entry["attributes"].append(makeAttribute("http.response.status_code", std::to_string(value.httpStatus)));
    return entry;
}

} // namespace

std::string toOtlpJson(const std::vector<span> &spans, const std::string &instance)
{
    Json::Value scope;
    scope["scope"]["name"] = "ragwortpin";
    for (const auto &value : spans) {
        scope["spans"].append(toJson(value));
    }
    Json::Value resource;
    resource["resource"]["attributes"].append(makeAttribute("service.name", "ragwortpin-node"));
    resource["resource"]["attributes"].append(makeAttribute("service.instance.id", instance));
    resource["scopeSpans"].append(scope);
    Json::Value root;
    root["resourceSpans"].append(resource);
    Json::StreamWriterBuilder builder;
    builder["indentation"] = "";
    return Json::writeString(builder, root);
}

} // namespace ragwortpin
