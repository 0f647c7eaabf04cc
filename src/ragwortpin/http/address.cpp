#include "ragwortpin/http/address.h"

#include <boost/asio/ip/address.hpp>

#include <charconv>

namespace ragwortpin {

std::optional<endpoint> parseEndpoint(const std::string &text)
{
    const auto separator = text.rfind(':');
    if (separator == std::string::npos) {
        return std::nullopt;
    }
    auto host = text.substr(0, separator);
    if (host.size() > 2 && host.front() == '[' && host.back() == ']') {
        host = host.substr(1, host.size() - 2);
    }
    boost::system::error_code error;
    boost::asio::ip::make_address(host, error);
    std::uint16_t port{0};
    const auto *first = text.data() + separator + 1;
    const auto *last = text.data() + text.size();
    const auto parsed = std::from_chars(first, last, port);
    if (error || parsed.ec != std::errc{} || parsed.ptr != last || port == 0) {
        return std::nullopt;
    }
    return endpoint{host, port};
}

std::string toText(const endpoint &address)
{
    const bool isIpv6{address.address.find(':') != std::string::npos};
    return (isIpv6 ? '[' + address.address + ']' : address.address) + ':' + std::to_string(address.port);
}

} // namespace ragwortpin
