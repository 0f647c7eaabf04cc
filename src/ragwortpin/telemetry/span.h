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

/** One hop of a request. Holds no key and no header of the caller. */
struct span
{
    trace_context trace;
    /** Span id of the hop above; empty for the first one. */
    std::string parentSpanId;
    /** Operation: caller, egress or target. */
    std::string name;
    std::string route;
    std::string workspace;
    /** Wall clock, microseconds since the Unix epoch. */
    microseconds start{0};
    microseconds end{0};
    unsigned httpStatus{0};
    outcome result{outcome::Unknown};

    bool operator==(const span &) const = default;
};

/** Takes finished spans; never blocks. */
using span_sink = std::function<void(span)>;

/** Encodes spans as the JSON body of an OTLP/HTTP export request. */
[[nodiscard]] std::string toOtlpJson(const std::vector<span> &spans, const std::string &instance);

} // namespace ragwortpin

#endif
