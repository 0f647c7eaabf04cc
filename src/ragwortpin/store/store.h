#ifndef RAGWORTPIN_STORE_STORE_H
#define RAGWORTPIN_STORE_STORE_H

#include "ragwortpin/core/time.h"
#include "ragwortpin/http/message.h"
#include "ragwortpin/store/fwd.h"

#include <cstdint>
#include <functional>
#include <optional>
#include <string>
#include <string_view>
#include <system_error>
#include <variant>
#include <vector>

namespace ragwortpin {

/** One key-value pair read from the platform's store. */
struct store_entry
{
    std::string key;
    std::string value;
    /** Store revision of the last write to the key. */
    std::int64_t modRevision{0};

    bool operator==(const store_entry &) const = default;
};

/** Condition of a transaction: the last write to the key was at the given store revision; 0 means that the key does not exist. */
struct store_compare
{
    std::string key;
    std::int64_t modRevision{0};

    bool operator==(const store_compare &) const = default;
};

/** One write of a transaction. Puts the value, or deletes the key if there is none. */
struct store_write
{
    std::string key;
    std::optional<std::string> value;
    /** Id of the lease that the key is attached to; 0 for none. */
    std::int64_t lease{0};

    bool operator==(const store_write &) const = default;
};

/** Reads the keys in [key, rangeEnd), or the single key when rangeEnd is empty. */
struct store_range
{
    std::string key;
    std::string rangeEnd;
    /** Maximum number of entries to return, in key order; 0 for no limit. */
    std::int64_t limit{0};

    bool operator==(const store_range &) const = default;
};

/** Applies all writes if all compares hold; otherwise writes nothing and reads the keys in readOnFailure. */
struct store_transaction
{
    std::vector<store_compare> compares;
    std::vector<store_write> writes;
    std::vector<std::string> readOnFailure;

    bool operator==(const store_transaction &) const = default;
};

/** Waits until a key with the given prefix changes after the given store revision, or until the wait time has passed. */
struct store_watch
{
    std::string prefix;
    std::int64_t afterRevision{0};
    milliseconds wait{0};

    bool operator==(const store_watch &) const = default;
};

/** One call to the store. Each counts as one call against the call budget of the store. */
using store_request = std::variant<store_range, store_transaction, store_watch>;

/** Result of a call. After an error, a transaction may or may not have taken effect; see mayHaveTakenEffect(). */
struct store_reply
{
    std::error_code error;
    /** Whether all compares of a transaction held or a watch observed a change; true for a range. */
    bool succeeded{false};
    /** Store revision reported with the response. */
    std::int64_t revision{0};
    /** Entries that were read, in key order. */
    std::vector<store_entry> entries;
    /**
     * Number that changes when the store returns from an older copy; 0 if it reports none. A revision stands for a content only within
     * one era, since the store gives out revisions again after its return.
     */
    std::uint64_t era{0};

    bool operator==(const store_reply &) const = default;
};

/** HTTP request that carries a call in the protocol of a store. */
struct store_message
{
    http::verb method{http::verb::post};
    std::string target;
    std::string body;

    bool operator==(const store_message &) const = default;
};

/** Encoder and decoder of a store's protocol. If it has no watch, decode() returns store_errc::NotSupported for one. */
struct store_protocol
{
    std::function<store_message(const store_request &)> encode;
    std::function<store_reply(const store_request &, unsigned httpStatus, std::string_view body)> decode;
    /** Header field of all responses that contains the era of the store; empty if it has none. */
    std::string eraHeader{};
};

/** Performs one call and blocks until the response or the timeout. Daemons pass a network client, tests a fake. */
using store_call = std::function<store_reply(const store_request &)>;

} // namespace ragwortpin

#endif
