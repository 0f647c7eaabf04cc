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

/** Maximum size of a value, in bytes. */
inline constexpr std::size_t MaxValueBytes{1'000'000};

/** Maximum number of past events kept for watches that start at an earlier revision. */
inline constexpr std::size_t MaxEventHistory{4096};

/** Reasons for rejecting a call to the store. */
enum class store_model_errc {
    KeyEmpty = 1,
    ValueTooLarge,
    LeaseNotFound,
    LeaseTtlInvalid,
};

/** Returns the error code for a store_model_errc. */
[[nodiscard]] std::error_code make_error_code(store_model_errc kind) noexcept;

/** Value of a key with its revisions and version, which follow the rules of etcd. */
struct stored_value
{
    std::string value;
    std::int64_t createRevision{0};
    std::int64_t modRevision{0};
    std::int64_t version{0};
    /** Id of the lease whose end deletes the key; 0 for none. */
    std::int64_t lease{0};

    bool operator==(const stored_value &) const = default;
};

/** Lease that has neither expired nor been revoked. */
struct stored_lease
{
    seconds ttl{0};
    time_point expiresAt;

    bool operator==(const stored_lease &) const = default;
};

/** Change of a single key. */
struct stored_event
{
    std::string key;
    stored_value value;
    bool deleted{false};

    bool operator==(const stored_event &) const = default;
};

/** Range of keys [key, rangeEnd). An empty rangeEnd selects the single key; a rangeEnd of one zero byte means no upper bound. */
struct key_range
{
    std::string key;
    std::string rangeEnd;

    bool operator==(const key_range &) const = default;
};

/** Writes a single key. */
struct put_operation
{
    std::string key;
    std::string value;
    std::int64_t lease{0};

    bool operator==(const put_operation &) const = default;
};

/** Reads at most limit entries of a range in key order; a limit of 0 means all entries. */
struct range_operation
{
    key_range range;
    std::int64_t limit{0};
    bool keysOnly{false};
    bool countOnly{false};

    bool operator==(const range_operation &) const = default;
};

/** Deletes all keys of a range. */
struct delete_operation
{
    key_range range;

    bool operator==(const delete_operation &) const = default;
};

using operation = std::variant<put_operation, range_operation, delete_operation>;

/** Property of a key that a comparison evaluates. Each is 0 for a key that does not exist. */
enum class comparison_target : unsigned char {
    Version,
    CreateRevision,
    ModRevision,
};

/** Relation that must hold between the property of the key and the given number. */
enum class comparison_result : unsigned char {
    Equal,
    NotEqual,
    Greater,
    Less,
};

/** Condition on a single key in a transaction. */
struct comparison
{
    std::string key;
    comparison_target target{comparison_target::ModRevision};
    comparison_result result{comparison_result::Equal};
    std::int64_t number{0};

    bool operator==(const comparison &) const = default;
};

/** Executes the success operations if all comparisons hold, and the failure operations otherwise. All writes share one revision. */
struct transaction
{
    std::vector<comparison> comparisons;
    std::vector<operation> success;
    std::vector<operation> failure;

    bool operator==(const transaction &) const = default;
};

/** Key with its stored value. */
struct key_value
{
    std::string key;
    stored_value value;

    bool operator==(const key_value &) const = default;
};

/** Result of a single operation. */
struct operation_result
{
    /** Entries returned by a read. */
    std::vector<key_value> entries;
    /** Number of keys in the range that was read or deleted, regardless of the limit of a read. */
    std::int64_t count{0};

    bool operator==(const operation_result &) const = default;
};

/** Result of a transaction, with one operation_result for each operation of the branch that was executed. */
struct transaction_result
{
    std::error_code error;
    bool succeeded{false};
    std::vector<operation_result> results;

    bool operator==(const transaction_result &) const = default;
};

/** Complete state of the store. */
struct store_state
{
    std::int64_t revision{1};
    std::map<std::string, stored_value> values;
    std::map<std::int64_t, stored_lease> leases;
    std::int64_t lastLease{0};
    /** Most recent events, oldest first, at most MaxEventHistory. */
    std::deque<stored_event> events;

    bool operator==(const store_state &) const = default;
};

/** Returns whether a key lies in a range. */
[[nodiscard]] bool contains(const key_range &range, const std::string &key) noexcept;

/** Returns whether a condition holds. */
[[nodiscard]] bool holds(const store_state &state, const comparison &condition) noexcept;

/** Executes a transaction atomically: either every operation of the selected branch, or none and an error is returned. */
[[nodiscard]] transaction_result apply(store_state &state, const transaction &request);

/** Grants a lease and stores its id in lease. Returns LeaseTtlInvalid if the time to live is not positive. */
[[nodiscard]] std::error_code grantLease(store_state &state, seconds ttl, time_point now, std::int64_t &lease);

/** Renews a lease so that it expires one time to live after now. Returns the time to live, or zero if the lease does not exist. */
[[nodiscard]] seconds keepLeaseAlive(store_state &state, std::int64_t lease, time_point now);

/** Removes a lease and deletes its keys. Returns LeaseNotFound if the lease does not exist. */
[[nodiscard]] std::error_code revokeLease(store_state &state, std::int64_t lease);

/** Removes all leases that have expired, with their keys. Returns the number of removed leases. */
std::size_t expireLeases(store_state &state, time_point now);

/**
 * Removes all leases with their keys, as if time had advanced past every time to live. Returns the number of removed leases.
 */
std::size_t expireAllLeases(store_state &state);

} // namespace ragwortpin::standins

template<>
struct std::is_error_code_enum<ragwortpin::standins::store_model_errc> : std::true_type
{ };

#endif
