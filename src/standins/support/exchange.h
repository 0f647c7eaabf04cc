#ifndef RAGWORTPIN_STANDINS_SUPPORT_EXCHANGE_H
#define RAGWORTPIN_STANDINS_SUPPORT_EXCHANGE_H

#include "standins/support/fwd.h"

#include <functional>
#include <memory>

namespace ragwortpin::standins {

/** One request being answered. The server cancels it when the client closes the connection. */
struct exchange
{
    bool cancelled{false};
    bool finished{false};
    /** Stops what the handler waits for; the handler sets it before each wait. */
    std::function<void()> onCancel;
};

using exchange_pointer = std::shared_ptr<exchange>;

/** Cancels an exchange once; a finished one is left alone. */
inline void cancel(exchange &current)
{
    if (current.finished || current.cancelled) {
        return;
    }
    current.cancelled = true;
    if (current.onCancel) {
        current.onCancel();
    }
}

} // namespace ragwortpin::standins

#endif
