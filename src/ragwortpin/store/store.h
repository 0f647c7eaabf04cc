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

/** One key of the platform's store as it was read. */
struct store_entry
{
    std::string key;
    std::string value;
    /** Store revision at which the key was last written. */
    std::int64_t modRevision{0};

    bool operator==(const store_entry &) const = default;
};

/** Condition of a transaction: the key was last written at the given store revision; 0 means that it does not exist. */
struct store_compare
{
    std::string key;
    std::int64_t modRevision{0};

    bool operator==(const store_compare &) const = default;
};

/** One write of a transaction: a value to put, or none to delete the key. */
struct store_write
{
    std::string key;
    std::optional<std::string> value;
    /** Lease that the key is attached to; 0 for none. */
    std::int64_t lease{0};

    bool operator==(const store_write &) const = default;
};

/** Reads the keys in [key, rangeEnd), or the single key when rangeEnd is empty. */
struct store_range
{
    std::string key;
    std::string rangeEnd;
    /** Most entries to return, in key order; 0 for all. */
    std::int64_t limit{0};

    bool operator==(const store_range &) const = default;
};

/** Applies all writes if all comparisons hold; otherwise writes nothing and reads the keys in readOnFailure. */
struct store_transaction
{
    std::vector<store_compare> compares;
    std::vector<store_write> writes;
    std::vector<std::string> readOnFailure;

    bool operator==(const store_transaction &) const = default;
};

/** Waits until a key that begins with the prefix changes after a store revision, or until the time is over. */
struct store_watch
{
    std::string prefix;
    std::int64_t afterRevision{0};
    milliseconds wait{0};

    bool operator==(const store_watch &) const = default;
};

/** A call to the store. Each counts as one call against the store's budget. */
using store_request = std::variant<store_range, store_transaction, store_watch>;

/** Result of a call. After an error a transaction may or may not have taken effect. */
struct store_reply
{
    std::error_code error;
    /** Whether a transaction's comparisons held, or a watch saw a change; true for a range. */
    bool succeeded{false};
    /** Store revision after the call. */
    std::int64_t revision{0};
    /** Entries read, in key order. */
    std::vector<store_entry> entries;

    bool operator==(const store_reply &) const = default;
};

/** A call as an HTTP message of a store's protocol. */
struct store_message
{
    http::verb method{http::verb::post};
    std::string target;
    std::string body;

    bool operator==(const store_message &) const = default;
};

/** Protocol of a store. A watch that it does not have is refused by decode(). */
struct store_protocol
{
    std::function<store_message(const store_request &)> encode;
    std::function<store_reply(const store_request &, unsigned httpStatus, std::string_view body)> decode;
};

/** Performs one call and blocks until it is answered or its time is up. Daemons pass a network client, tests a fake. */
using store_call = std::function<store_reply(const store_request &)>;

} // namespace ragwortpin

#endif
