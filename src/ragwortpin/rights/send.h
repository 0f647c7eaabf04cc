#ifndef RAGWORTPIN_RIGHTS_SEND_H
#define RAGWORTPIN_RIGHTS_SEND_H

#include "ragwortpin/rights/rights.h"

#include <algorithm>
#include <cstddef>
#include <map>
#include <string>
#include <utility>
#include <vector>

namespace ragwortpin::internal {

/** Adds a message to a peer to the outbox. */
inline void send(rights_state &state, std::string to, rights_body body)
{
    state.outbox.messages.push_back({std::move(to), {state.self.name, state.self.incarnation, std::move(body)}});
}

/** Adds messages with the items of each peer to the outbox, with at most MaxRightsMessageItems items per message. */
template<typename Item, typename MakeBody>
void sendInParts(rights_state &state, const std::map<std::string, std::vector<Item>> &itemsByPeer, MakeBody &&makeBody)
{
    for (const auto &[peer, items] : itemsByPeer) {
        for (std::size_t start{0}; start < items.size(); start += MaxRightsMessageItems) {
            const auto end = std::min(start + MaxRightsMessageItems, items.size());
            send(state,
                 peer,
                 makeBody(std::vector<Item>(items.begin() + static_cast<std::ptrdiff_t>(start),
                                            items.begin() + static_cast<std::ptrdiff_t>(end))));
        }
    }
}

} // namespace ragwortpin::internal

#endif
