#include "ragwortpin/runtime/loop_probe.h"

#include "ragwortpin/runtime/logging.h"

#include <boost/asio/buffer.hpp>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/redirect_error.hpp>
#include <boost/asio/use_awaitable.hpp>

#include <fcntl.h>
#include <unistd.h>

#include <algorithm>
#include <array>
#include <cerrno>
#include <system_error>

namespace ragwortpin {

namespace asio = boost::asio;

loop_probe::loop_probe(asio::io_context &context)
    : m_reader{context}
    , m_writer{context}
{
    std::array<int, 2> ends{};
    if (::pipe2(ends.data(), O_CLOEXEC | O_NONBLOCK) != 0) {
        logEvent(log_level::Error, "loop_probe_failed", {{"error", std::generic_category().message(errno)}});
        return;
    }
    m_reader.assign(ends[0]);
    m_writer.assign(ends[1]);
    asio::co_spawn(context, receive(), asio::detached);
}

void loop_probe::send(time_point now)
{
    if (m_sentAt || !m_writer.is_open()) {
        return;
    }
    boost::system::error_code error;
    const std::array<char, 1> byte{};
    if (m_writer.write_some(asio::buffer(byte), error) == byte.size()) {
        m_sentAt = now;
    }
}

duration loop_probe::takeDelay(time_point now)
{
    const auto received = m_minDelay;
    m_minDelay.reset();
    if (received) {
        return *received;
    }
    return m_sentAt ? now - *m_sentAt : duration::zero();
}

asio::awaitable<void> loop_probe::receive()
{
    boost::system::error_code error;
    std::array<char, 1> byte{};
    for (;;) {
        co_await m_reader.async_read_some(asio::buffer(byte), asio::redirect_error(asio::use_awaitable, error));
        if (error) {
            co_return;
        }
        if (m_sentAt) {
            const duration delay{monotonicNow() - *m_sentAt};
            m_minDelay = std::min(delay, m_minDelay.value_or(delay));
            m_sentAt.reset();
        }
    }
}

} // namespace ragwortpin
