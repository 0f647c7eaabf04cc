#ifndef RAGWORTPIN_RUNTIME_SNAPSHOT_H
#define RAGWORTPIN_RUNTIME_SNAPSHOT_H

#include <atomic>
#include <memory>
#include <utility>

namespace ragwortpin {

/** Latest version of an immutable value, published by one thread and read by any thread. A loaded version stays valid and unchanged. */
template<typename Value>
class snapshot
{
public:
    /** Returns the latest version; null before the first store(). */
    [[nodiscard]] std::shared_ptr<const Value> load() const noexcept
    {
        return m_value.load();
    }

    /** Publishes a new version. */
    void store(std::shared_ptr<const Value> value) noexcept
    {
        m_value.store(std::move(value));
    }

private:
    std::atomic<std::shared_ptr<const Value>> m_value;
};

} // namespace ragwortpin

#endif
