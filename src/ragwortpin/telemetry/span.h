#ifndef RAGWORTPIN_TELEMETRY_SPAN_H
#define RAGWORTPIN_TELEMETRY_SPAN_H

#include "ragwortpin/core/outcome.h"
#include "ragwortpin/core/time.h"
#include "ragwortpin/identity/context.h"
#include "ragwortpin/telemetry/fwd.h"

#include <functional>
#include <string>
#include <vector>

namespace ragwortpin {

/** Trace span of one hop of a request. Contains neither API keys nor header fields of the caller. */
struct span
{
    trace_context trace;
    /** Span id of the hop above this one; empty for the first hop. */
    std::string parentSpanId;
    /** Name of the operation: caller, egress or target. */
    std::string name;
    std::string route;
    std::string workspace;
    /** Wall-clock time of the start, since the Unix epoch. */
    microseconds start{0};
    /** Wall-clock time of the end, since the Unix epoch. */
    microseconds end{0};
    unsigned httpStatus{0};
    outcome result{outcome::Unknown};

    bool operator==(const span &) const = default;
};

/** Callback that receives finished spans. Must not block. */
using span_sink = std::function<void(span)>;

/** Encodes the spans of one instance as the JSON body of an OTLP/HTTP export request. */
[[nodiscard]] std::string toOtlpJson(const std::vector<span> &spans, const std::string &instance);

} // namespace ragwortpin

#endif
