#ifndef RAGWORTPIN_TESTS_CONFIG_FAKE_STORE_H
#define RAGWORTPIN_TESTS_CONFIG_FAKE_STORE_H

#include "ragwortpin/store/store.h"

#include <cstdint>
#include <functional>
#include <map>
#include <string>

namespace ragwortpin::testing {

/** In-memory store with the semantics documented in store.h. */
class fake_store
{
public:
    store_reply perform(const store_request &request)
    {
        if (const auto *range = std::get_if<store_range>(&request)) {
            return read(*range);
        }
        return apply(std::get<store_transaction>(request));
    }

    store_call call()
    {
        return [this](const store_request &request) {
            return perform(request);
        };
    }

    void erase(const std::string &key)
    {
        ++m_revision;
        m_entries.erase(key);
    }

    void put(const std::string &key, const std::string &value)
    {
        ++m_revision;
        m_entries[key] = {key, value, m_revision};
    }

    [[nodiscard]] const std::map<std::string, store_entry> &entries() const
    {
        return m_entries;
    }

private:
    store_reply read(const store_range &range) const
    {
        store_reply reply;
        reply.succeeded = true;
        reply.revision = m_revision;
        for (const auto &[key, entry] : m_entries) {
            const bool isInRange = range.rangeEnd.empty() ? key == range.key : key >= range.key && key < range.rangeEnd;
            if (isInRange && (range.limit == 0 || static_cast<std::int64_t>(reply.entries.size()) < range.limit)) {
                reply.entries.push_back(entry);
            }
        }
        return reply;
    }

    store_reply apply(const store_transaction &transaction)
    {
        store_reply reply;
        reply.succeeded = true;
        for (const auto &compare : transaction.compares) {
            const auto found = m_entries.find(compare.key);
            const auto modRevision = found == m_entries.end() ? 0 : found->second.modRevision;
            reply.succeeded = reply.succeeded && modRevision == compare.modRevision;
        }
        if (reply.succeeded) {
            ++m_revision;
            for (const auto &write : transaction.writes) {
                if (write.value) {
                    m_entries[write.key] = {write.key, *write.value, m_revision};
                } else {
                    m_entries.erase(write.key);
                }
            }
        }
        reply.revision = m_revision;
        return reply;
    }

    std::map<std::string, store_entry> m_entries;
    std::int64_t m_revision{1};
};

} // namespace ragwortpin::testing

#endif
