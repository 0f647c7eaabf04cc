#ifndef RAGWORTPIN_HTTP_ADDRESS_H
#define RAGWORTPIN_HTTP_ADDRESS_H

#include "ragwortpin/http/message.h"

#include <optional>
#include <string>

namespace ragwortpin {

/** Parses IP:PORT, with IPv6 addresses in brackets. Returns nullopt for a host name, port 0 or any other malformed text. */
[[nodiscard]] std::optional<endpoint> parseEndpoint(const std::string &text);

/** Formats an endpoint in the form that parseEndpoint() parses. */
[[nodiscard]] std::string toText(const endpoint &address);

} // namespace ragwortpin

#endif
