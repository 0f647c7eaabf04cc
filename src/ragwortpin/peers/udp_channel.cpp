#include "ragwortpin/peers/udp_channel.h"

#include "ragwortpin/core/time.h"
#include "ragwortpin/peers/error.h"
#include "ragwortpin/runtime/guard.h"

#include <boost/asio/buffer.hpp>
#include <boost/asio/error.hpp>
#include <boost/asio/ip/address.hpp>

#include <utility>

namespace ragwortpin::internal {

namespace asio = boost::asio;

namespace {

/** Maximum number of waiting datagrams that are handled before the event loop runs other handlers. */
constexpr std::size_t MaxReceiveBatch{128};

} // namespace

udp_channel::udp_channel(asio::io_context &context, datagram_secrets secrets, receiver receive)
    : m_socket{context}
    , m_secrets{std::move(secrets)}
    , m_receive{std::move(receive)}
{ }

std::error_code udp_channel::open(const peer_address &local)
{
    boost::system::error_code error;
    const auto address = asio::ip::make_address(local.address, error);
    if (error) {
        return peers_errc::SocketUnavailable;
    }
    const asio::ip::udp::endpoint endpoint{address, local.port};
    m_socket.open(endpoint.protocol(), error);
    if (!error) {
        m_socket.bind(endpoint, error);
    }
    if (!error) {
        m_socket.non_blocking(true, error);
    }
    if (error) {
        return peers_errc::SocketUnavailable;
    }
    receiveNext();
    return {};
}

void udp_channel::close()
{
    boost::system::error_code ignored;
    m_socket.close(ignored);
}

void udp_channel::send(std::span<const peer_address> to, datagram value)
{
    value.sentAt = wallClockNow();
    const auto sealed = seal(value, m_secrets.current);
    if (sealed.error) {
        m_counters.sendFailures += to.size();
        return;
    }
    for (const auto &peer : to) {
        sendBytes(peer, sealed.bytes);
    }
}

void udp_channel::sendBytes(const peer_address &to, const std::string &bytes)
{
    boost::system::error_code error;
    const auto address = asio::ip::make_address(to.address, error);
    if (!error) {
        m_socket.send_to(asio::buffer(bytes), asio::ip::udp::endpoint{address, to.port}, 0, error);
    }
    if (error) {
        ++m_counters.sendFailures;
        return;
    }
    ++m_counters.sent;
    m_counters.bytesSent += bytes.size() + UdpHeaderBytes;
}

void udp_channel::receiveNext()
{
    m_socket.async_receive_from(asio::buffer(m_buffer), m_from, [this](const boost::system::error_code &error, std::size_t size) {
        if (error == asio::error::operation_aborted || !m_socket.is_open()) {
            return;
        }
        if (!error) {
            handleGuarded(size);
            receiveWaiting();
        }
        receiveNext();
    });
}

/**
 * Handles the datagrams that are already waiting, without another pass of the event loop for each: a relay sends those of a whole fleet at
 * once.
 */
void udp_channel::receiveWaiting()
{
    for (std::size_t received{1}; received < MaxReceiveBatch; ++received) {
        boost::system::error_code error;
        const auto size = m_socket.receive_from(asio::buffer(m_buffer), m_from, 0, error);
        if (error) {
            return;
        }
        handleGuarded(size);
    }
}

void udp_channel::handleGuarded(std::size_t size)
{
    runGuarded("datagram", [this, size] {
        handle(size);
    });
}

void udp_channel::handle(std::size_t size)
{
    ++m_counters.received;
    m_counters.bytesReceived += size + UdpHeaderBytes;
    auto opened = ragwortpin::open({m_buffer.data(), size}, m_secrets, wallClockNow());
    if (opened.error) {
        ++(opened.error == peers_errc::DatagramStale ? m_counters.stale : m_counters.refused);
        return;
    }
    m_receive(std::move(opened.value), {m_from.address().to_string(), m_from.port()});
}

} // namespace ragwortpin::internal
