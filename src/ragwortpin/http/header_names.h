#ifndef RAGWORTPIN_HTTP_HEADER_NAMES_H
#define RAGWORTPIN_HTTP_HEADER_NAMES_H

#include "ragwortpin/http/fwd.h"

#include <string>

namespace ragwortpin {

/** Names of the header fields that callers and targets of a deployment use. */
struct header_names
{
    /** Id of one attempt of a caller. Passed on as it came, repeated by targets in their answers, and logged. */
    std::string requestId{"X-Request-Id"};
    /** Milliseconds that a caller waits, and that a target has, for the whole answer. */
    std::string deadline{"Ragwortpin-Deadline-Ms"};
    /** Tells a target which workspace a request runs for. */
    std::string workspace{"Ragwortpin-Workspace"};
    /** Tells a target which service runs where the request began. */
    std::string callerService{"Ragwortpin-Caller-Service"};
    /** Tells a target which incarnation of it the request is meant for; another one does not run it. */
    std::string expectedInstance{"Ragwortpin-Expected-Instance"};
    /** Present in an answer of a target that did not run the request. */
    std::string notRun{"Ragwortpin-Not-Run"};
    /** Whether Retry-After is written with fractions of a second; whole seconds are rounded up. */
    bool fractionalRetryAfter{false};

    bool operator==(const header_names &) const = default;
};

} // namespace ragwortpin

#endif
