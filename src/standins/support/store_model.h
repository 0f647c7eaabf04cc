#ifndef RAGWORTPIN_STANDINS_SUPPORT_STORE_MODEL_H
#define RAGWORTPIN_STANDINS_SUPPORT_STORE_MODEL_H

#include "ragwortpin/core/time.h"
#include "standins/support/fwd.h"

#include <cstddef>
#include <cstdint>
#include <deque>
#include <map>
#include <string>
#include <system_error>
#include <variant>
#include <vector>

namespace ragwortpin::standins {

/** Largest value that the store accepts, in bytes. */
inline constexpr std::size_t MaxValueBytes{1'000'000};

/** Number of past events kept for watches that start at an earlier revision. */
inline constexpr std::size_t MaxKeptEvents{4096};

/** Why the store rejects a call. */
enum class store_model_errc {
    KeyEmpty = 1,
    ValueTooLarge,
    LeaseNotFound,
    LeaseTtlInvalid,
};

/** Makes an error code of a store_model_errc. */
[[nodiscard]] std::error_code make_error_code(store_model_errc kind) noexcept;

/** Value of one key with its revisions, as etcd counts them. */
struct stored_value
{
    std::string value;
    std::int64_t createRevision{0};
    std::int64_t modRevision{0};
    std::int64_t version{0};
    /** Lease that deletes the key when it ends; 0 for none. */
    std::int64_t lease{0};

    bool operator==(const stored_value &) const = default;
};

/** A lease that has not ended. */
struct stored_lease
{
    seconds ttl{0};
    time_point expiresAt;

    bool operator==(const stored_lease &) const = default;
};

/** One change of one key. */
struct stored_event
{
    std::string key;
    stored_value value;
    bool deleted{false};

    bool operator==(const stored_event &) const = default;
};

/** The keys in [key, rangeEnd). An empty rangeEnd means the single key, one zero byte means no upper bound. */
struct key_range
{
    std::string key;
    std::string rangeEnd;

    bool operator==(const key_range &) const = default;
};

/** Writes one key. */
struct put_operation
{
    std::string key;
    std::string value;
    std::int64_t lease{0};

    bool operator==(const put_operation &) const = default;
};

/** Reads a range, at most limit entries in key order; a limit of 0 means all. */
struct range_operation
{
    key_range range;
    std::int64_t limit{0};
    bool keysOnly{false};
    bool countOnly{false};

    bool operator==(const range_operation &) const = default;
};

/** Deletes a range. */
struct delete_operation
{
    key_range range;

    bool operator==(const delete_operation &) const = default;
};

using operation = std::variant<put_operation, range_operation, delete_operation>;

/** Number of a key that a comparison looks at; each is 0 for a key that does not exist. */
enum class comparison_target : unsigned char {
    Version,
    CreateRevision,
    ModRevision,
};

/** Relation of the key's number to the given one. */
enum class comparison_result : unsigned char {
    Equal,
    NotEqual,
    Greater,
    Less,
};

/** Condition of a transaction. */
struct comparison
{
    std::string key;
    comparison_target target{comparison_target::ModRevision};
    comparison_result result{comparison_result::Equal};
    std::int64_t number{0};

    bool operator==(const comparison &) const = default;
};

/** Applies success when all comparisons hold, failure otherwise; its writes share one revision. */
struct transaction
{
    std::vector<comparison> comparisons;
    std::vector<operation> success;
    std::vector<operation> failure;

    bool operator==(const transaction &) const = default;
};

/** A key with its value. */
struct key_value
{
    std::string key;
    stored_value value;

    bool operator==(const key_value &) const = default;
};

/** Result of one operation. */
struct operation_result
{
    /** Entries read. */
    std::vector<key_value> entries;
    /** Keys in the range read or deleted, whatever the limit. */
    std::int64_t count{0};

    bool operator==(const operation_result &) const = default;
};

/** Result of a transaction, one operation_result for each operation of the branch that was taken. */
struct transaction_result
{
    std::error_code error;
    bool succeeded{false};
    std::vector<operation_result> results;

    bool operator==(const transaction_result &) const = default;
};

/** Whole state of the store. */
struct store_state
{
    std::int64_t revision{1};
    std::map<std::string, stored_value> values;
    std::map<std::int64_t, stored_lease> leases;
    std::int64_t lastLease{0};
    /** Last events, oldest first, at most MaxKeptEvents. */
    std::deque<stored_event> events;

    bool operator==(const store_state &) const = default;
};

/** Whether a key lies in a range. */
[[nodiscard]] bool contains(const key_range &range, const std::string &key) noexcept;

/** Whether a condition holds. */
[[nodiscard]] bool holds(const store_state &state, const comparison &condition) noexcept;

/** Applies a transaction: all of its branch, or nothing and an error. */
[[nodiscard]] transaction_result apply(store_state &state, const transaction &request);

/** Grants a lease and returns its id in lease. */
[[nodiscard]] std::error_code grantLease(store_state &state, seconds ttl, time_point now, std::int64_t &lease);

/** Prolongs a lease by its time to live from now. Returns the time to live, zero when the lease has ended. */
[[nodiscard]] seconds keepLeaseAlive(store_state &state, std::int64_t lease, time_point now);

/** Ends a lease and deletes its keys. */
[[nodiscard]] std::error_code revokeLease(store_state &state, std::int64_t lease);

/** Ends every lease that is past its time. Returns how many ended. */
std::size_t expireLeases(store_state &state, time_point now);

/** Ends every lease at once, as after a pause longer than each time to live. Returns how many ended. */
std::size_t expireAllLeases(store_state &state);

} // namespace ragwortpin::standins

template<>
struct std::is_error_code_enum<ragwortpin::standins::store_model_errc> : std::true_type
{ };

#endif
