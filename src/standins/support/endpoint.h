#ifndef RAGWORTPIN_STANDINS_SUPPORT_ENDPOINT_H
#define RAGWORTPIN_STANDINS_SUPPORT_ENDPOINT_H

#include "standins/support/fwd.h"

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <tuple>

namespace ragwortpin::standins {

/** TCP address on loopback. */
struct endpoint
{
    /** Dotted IPv4 address within 127.0.0.0/8. */
    std::string host;
    std::uint16_t port{0};

    bool operator==(const endpoint &) const = default;
};

/** Compares by host, then by port, so that endpoints can be keys of ordered containers. */
[[nodiscard]] inline bool operator<(const endpoint &left, const endpoint &right) noexcept
{
    return std::tie(left.host, left.port) < std::tie(right.host, right.port);
}

/** Parses IP:PORT. Returns nullopt unless the address is in 127.0.0.0/8 and the port in 1 to 65535. */
[[nodiscard]] std::optional<endpoint> parseEndpoint(std::string_view text);

/** Returns the endpoint as IP:PORT. */
[[nodiscard]] std::string toText(const endpoint &address);

} // namespace ragwortpin::standins

#endif
