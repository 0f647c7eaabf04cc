#ifndef RAGWORTPIN_STANDINS_SUPPORT_ENDPOINT_H
#define RAGWORTPIN_STANDINS_SUPPORT_ENDPOINT_H

#include "standins/support/fwd.h"

#include <compare>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace ragwortpin::standins {

/** Loopback TCP address. */
struct endpoint
{
    /** Dotted IPv4 address within 127.0.0.0/8. */
    std::string host;
    std::uint16_t port{0};

    auto operator<=>(const endpoint &) const = default;
};

/** Parses IP:PORT. Nothing unless the address lies in 127.0.0.0/8 and the port in 1 to 65535. */
[[nodiscard]] std::optional<endpoint> parseEndpoint(std::string_view text);

/** Returns IP:PORT. */
[[nodiscard]] std::string toText(const endpoint &address);

} // namespace ragwortpin::standins

#endif
