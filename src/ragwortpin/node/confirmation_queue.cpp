#include "ragwortpin/node/confirmation_queue.h"

#include <boost/asio/redirect_error.hpp>
#include <boost/asio/use_awaitable.hpp>

#include <algorithm>

namespace ragwortpin {

boost::asio::awaitable<bool> confirmation_queue::wait(std::uint64_t number, duration timeout)
{
    if (m_lastSettled < number) {
        boost::asio::steady_timer timer{m_context, timeout};
        const auto entry = m_waiting.emplace(number, &timer);
        boost::system::error_code ignored;
        co_await timer.async_wait(boost::asio::redirect_error(boost::asio::use_awaitable, ignored));
        m_waiting.erase(entry);
    }
    co_return m_lastSettled >= number;
}

void confirmation_queue::settle(std::uint64_t number)
{
    m_lastSettled = std::max(m_lastSettled, number);
    const auto end = m_waiting.upper_bound(m_lastSettled);
    for (auto entry = m_waiting.begin(); entry != end; ++entry) {
        entry->second->cancel();
    }
}

} // namespace ragwortpin
