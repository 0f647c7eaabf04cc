#ifndef RAGWORTPIN_TESTS_CLAIMS_FAKE_STORE_H
#define RAGWORTPIN_TESTS_CLAIMS_FAKE_STORE_H

#include "ragwortpin/store/store.h"

#include <algorithm>
#include <cstddef>
#include <map>
#include <string>
#include <system_error>
#include <vector>

namespace ragwortpin::test {

/** In-memory store that can hold requests back, so that they take effect late. */
struct fake_store
{
    std::map<std::string, store_entry> entries;
    std::int64_t revision{0};
    /** Requests that take effect later. */
    std::vector<store_request> delayed;
    /** Number of requests that were applied. */
    std::size_t calls{0};
};

inline store_reply applyRange(const fake_store &store, const store_range &range)
{
    store_reply reply;
    reply.succeeded = true;
    reply.revision = store.revision;
    const auto end = range.rangeEnd.empty() ? store.entries.upper_bound(range.key) : store.entries.lower_bound(range.rangeEnd);
    for (auto entry = store.entries.lower_bound(range.key); entry != end; ++entry) {
        if (range.limit > 0 && reply.entries.size() == static_cast<std::size_t>(range.limit)) {
            break;
        }
        reply.entries.push_back(entry->second);
    }
    return reply;
}

inline store_reply applyTransaction(fake_store &store, const store_transaction &transaction)
{
    store_reply reply;
    reply.succeeded = std::all_of(transaction.compares.begin(), transaction.compares.end(), [&store](const store_compare &compare) {
        const auto found = store.entries.find(compare.key);
        return (found == store.entries.end() ? 0 : found->second.modRevision) == compare.modRevision;
    });
    if (!reply.succeeded) {
        for (const auto &key : transaction.readOnFailure) {
            const auto found = store.entries.find(key);
            if (found != store.entries.end()) {
                reply.entries.push_back(found->second);
            }
        }
        reply.revision = store.revision;
        return reply;
    }
    reply.revision = ++store.revision;
    for (const auto &write : transaction.writes) {
        if (write.value) {
            store.entries[write.key] = {write.key, *write.value, store.revision};
        } else {
            store.entries.erase(write.key);
        }
    }
    return reply;
}

inline store_reply apply(fake_store &store, const store_request &request)
{
    ++store.calls;
    if (const auto *range = std::get_if<store_range>(&request)) {
        return applyRange(store, *range);
    }
    return applyTransaction(store, std::get<store_transaction>(request));
}

/** Returns the reply to a call that timed out. */
inline store_reply lostReply()
{
    store_reply reply;
    reply.error = std::make_error_code(std::errc::timed_out);
    return reply;
}

} // namespace ragwortpin::test

#endif
