#ifndef RAGWORTPIN_HTTP_ADDRESS_H
#define RAGWORTPIN_HTTP_ADDRESS_H

#include "ragwortpin/http/message.h"

#include <optional>
#include <string>

namespace ragwortpin {

/** Parses IP:PORT; IPv6 numbers stand in brackets. Nothing when it is none. */
[[nodiscard]] std::optional<endpoint> parseEndpoint(const std::string &text);

/** Formats an address as parseEndpoint() reads it. */
[[nodiscard]] std::string toText(const endpoint &address);

} // namespace ragwortpin

#endif
