#ifndef RAGWORTPIN_STANDINS_SUPPORT_EXCHANGE_H
#define RAGWORTPIN_STANDINS_SUPPORT_EXCHANGE_H

#include "standins/support/fwd.h"

#include <functional>
#include <memory>

namespace ragwortpin::standins {

/** State of one request that is being handled. The server cancels it when the client closes the connection. */
struct exchange
{
    bool cancelled{false};
    bool finished{false};
    /** Interrupts the operation that the handler is waiting for. The handler sets it before each wait and clears it afterwards. */
    std::function<void()> onCancel;
};

using exchange_pointer = std::shared_ptr<exchange>;

/** Cancels an exchange. Has no effect if it is already cancelled or finished. */
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
