#ifndef RAGWORTPIN_HTTP_CALL_CONTROL_H
#define RAGWORTPIN_HTTP_CALL_CONTROL_H

#include "ragwortpin/http/fwd.h"

#include <functional>
#include <utility>

namespace ragwortpin {

/**
 * Cancellation of one request, from the connection that it came by to whatever works on it. One listener at a time: the
 * step that waits. Single-threaded.
 */
class call_control
{
public:
    /** Marks the request as abandoned and tells the current listener. Later calls do nothing. */
    void cancel()
    {
        if (std::exchange(m_cancelled, true)) {
            return;
        }
        if (auto listener = std::exchange(m_listener, nullptr)) {
            listener();
        }
    }

    [[nodiscard]] bool cancelled() const noexcept
    {
        return m_cancelled;
    }

    /** Sets the function that cancel() calls; an empty one clears it. Called at once when already cancelled. */
    void onCancel(std::function<void()> listener)
    {
        if (m_cancelled && listener) {
            listener();
            return;
        }
        m_listener = std::move(listener);
    }

private:
    bool m_cancelled{false};
    std::function<void()> m_listener;
};

} // namespace ragwortpin

#endif
