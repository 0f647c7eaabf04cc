#ifndef RAGWORTPIN_HTTP_SOCKET_H
#define RAGWORTPIN_HTTP_SOCKET_H

#include <boost/asio/ip/tcp.hpp>

namespace ragwortpin {

/**
 * Returns whether the peer has closed, reset or shut down its sending side of a connection, without waiting. Bytes that the peer sent
 * before may still be unread.
 */
[[nodiscard]] bool isClosedByPeer(boost::asio::ip::tcp::socket &socket) noexcept;

} // namespace ragwortpin

#endif
