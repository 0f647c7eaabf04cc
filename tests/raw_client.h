#ifndef RAGWORTPIN_TESTS_RAW_CLIENT_H
#define RAGWORTPIN_TESTS_RAW_CLIENT_H

#include <cstdint>
#include <string>

namespace ragwortpin::test {

/** Sends bytes on a new connection to an IP address and returns everything that the server sends until the connection ends. */
[[nodiscard]] std::string exchangeBytes(const std::string &address, std::uint16_t port, const std::string &bytes);

} // namespace ragwortpin::test

#endif
