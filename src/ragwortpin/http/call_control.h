#ifndef RAGWORTPIN_HTTP_CALL_CONTROL_H
#define RAGWORTPIN_HTTP_CALL_CONTROL_H

#include "ragwortpin/http/fwd.h"

#include <functional>
#include <utility>

namespace ragwortpin {

/**
 * Cancellation state of one request, shared by the connection that received it and the step that currently processes it.
 * Holds at most one listener: the step that is waiting. Not thread-safe.
 */
class call_control
{
public:
    /** Marks the request as cancelled and calls the current listener, if there is one. Later calls have no effect. */
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

    /** Sets the function that cancel() calls; an empty one clears it. Called immediately, and not stored, if already cancelled. */
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
