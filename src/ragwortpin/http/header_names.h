#ifndef RAGWORTPIN_HTTP_HEADER_NAMES_H
#define RAGWORTPIN_HTTP_HEADER_NAMES_H

#include "ragwortpin/http/fwd.h"

#include <string>

namespace ragwortpin {

/** Names of the header fields exchanged with the callers and targets of a deployment. */
struct header_names
{
    /** Id of one attempt of a caller. Forwarded unchanged, echoed by targets in their responses, and logged. */
    std::string requestId{"X-Request-Id"};
    /** Time in milliseconds that a caller waits for the complete response, and that a target has to produce it. */
    std::string deadline{"Ragwortpin-Deadline-Ms"};
    /** Workspace on whose behalf a target runs the request. */
    std::string workspace{"Ragwortpin-Workspace"};
    /** Service of the instance at which the request originated; sent to targets. */
    std::string callerService{"Ragwortpin-Caller-Service"};
    /** Incarnation of the target that the request is meant for; any other incarnation does not run it. */
    std::string expectedInstance{"Ragwortpin-Expected-Instance"};
    /** Present in the response of a target that did not run the request. */
    std::string notRun{"Ragwortpin-Not-Run"};
    /** Whether Retry-After is written with fractions of a second; otherwise it is rounded up to whole seconds. */
    bool fractionalRetryAfter{false};

    bool operator==(const header_names &) const = default;
};

} // namespace ragwortpin

#endif
