#include "ragwortpin/memory/budget.h"

#include <utility>

namespace ragwortpin {

namespace {

/** Time after a denied reservation in which memory counts as short. */
constexpr seconds ShortagePeriod{5};

} // namespace

memory_reservation::memory_reservation(memory_reservation &&other) noexcept
    : m_account{std::move(other.m_account)}
    , m_use{other.m_use}
    , m_bytes{std::exchange(other.m_bytes, 0)}
{ }

memory_reservation &memory_reservation::operator=(memory_reservation &&other) noexcept
{
    std::swap(m_account, other.m_account);
    std::swap(m_use, other.m_use);
    std::swap(m_bytes, other.m_bytes);
    return *this;
}

memory_reservation::~memory_reservation()
{
    if (m_account) {
        m_account->usage.reserved -= m_bytes;
    }
}

bool memory_reservation::resize(std::size_t bytes)
{
    if (!m_account) {
        return true;
    }
    auto &usage = m_account->usage;
    if (bytes > m_bytes && !canReserve(usage, m_use, m_bytes, bytes - m_bytes)) {
        ++m_account->denied;
        m_account->lastDeniedAt = monotonicNow();
        return false;
    }
    usage.reserved = usage.reserved - m_bytes + bytes;
    m_bytes = bytes;
    return true;
}

memory_budget::memory_budget(std::size_t limit)
    : m_account{std::make_shared<internal::memory_account>()}
{
    m_account->usage.limit = limit;
}

bool memory_budget::isShort(time_point now) const noexcept
{
    return m_account->lastDeniedAt && now - *m_account->lastDeniedAt < ShortagePeriod;
}

} // namespace ragwortpin
