#include "standins/support/slot_pool.h"

#include <boost/asio/redirect_error.hpp>
#include <boost/asio/use_awaitable.hpp>

#include <algorithm>

namespace ragwortpin::standins {

namespace {

namespace asio = boost::asio;

/** Waits until the timer expires or is cancelled, or until the exchange is cancelled. */
asio::awaitable<void> waitForTimer(asio::steady_timer &timer, exchange_pointer current)
{
    if (current->cancelled) {
        co_return;
    }
    current->onCancel = [&timer] {
        timer.cancel();
    };
    boost::system::error_code error;
    co_await timer.async_wait(asio::redirect_error(asio::use_awaitable, error));
    current->onCancel = nullptr;
}

} // namespace

slot_pool::slot_pool(std::size_t slots) noexcept
    : m_slots{slots}
{ }

asio::awaitable<bool> slot_pool::acquire(exchange_pointer current)
{
    if (m_used < m_slots) {
        ++m_used;
        co_return true;
    }
    asio::steady_timer timer{co_await asio::this_coro::executor, asio::steady_timer::time_point::max()};
    const auto position = m_queue.insert(m_queue.end(), waiter{std::move(timer), false});
    co_await waitForTimer(position->timer, current);
    const bool granted = position->granted;
    m_queue.erase(position);
    co_return granted;
}

void slot_pool::release()
{
    const auto next = std::ranges::find(m_queue, false, &waiter::granted);
    if (next == m_queue.end()) {
        --m_used;
        return;
    }
    next->granted = true;
    next->timer.cancel();
}

std::size_t slot_pool::slots() const noexcept
{
    return m_slots;
}

std::size_t slot_pool::inFlight() const noexcept
{
    return m_used + static_cast<std::size_t>(std::ranges::count(m_queue, false, &waiter::granted));
}

asio::awaitable<void> waitFor(asio::steady_timer::duration span, exchange_pointer current)
{
    asio::steady_timer timer{co_await asio::this_coro::executor, span};
    co_await waitForTimer(timer, std::move(current));
}

} // namespace ragwortpin::standins
