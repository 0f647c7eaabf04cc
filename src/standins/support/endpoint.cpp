#include "standins/support/endpoint.h"

#include <boost/asio/ip/address_v4.hpp>

#include <charconv>

namespace ragwortpin::standins {

std::optional<endpoint> parseEndpoint(std::string_view text)
{
    const auto colon = text.rfind(':');
    if (colon == std::string_view::npos) {
        return std::nullopt;
    }
    const std::string host{text.substr(0, colon)};
    const auto digits = text.substr(colon + 1);
    std::uint16_t port{0};
    const auto [end, portError] = std::from_chars(digits.data(), digits.data() + digits.size(), port);
    if (portError != std::errc{} || end != digits.data() + digits.size() || port == 0) {
        return std::nullopt;
    }
    boost::system::error_code hostError;
    const auto address = boost::asio::ip::make_address_v4(host, hostError);
    if (hostError || !address.is_loopback()) {
        return std::nullopt;
    }
    return endpoint{host, port};
}

std::string toText(const endpoint &address)
{
    return address.host + ":" + std::to_string(address.port);
}

} // namespace ragwortpin::standins
