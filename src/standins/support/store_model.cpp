#include "standins/support/store_model.h"

#include "ragwortpin/core/error_category.h"

#include <algorithm>
#include <array>
#include <utility>

namespace ragwortpin::standins {

namespace {

constexpr std::array StoreModelErrors{
    error_text<store_model_errc>{store_model_errc::KeyEmpty, "the key is empty; specify a key"},
    error_text<store_model_errc>{store_model_errc::ValueTooLarge, "the value exceeds 1000000 bytes; split it across several keys"},
    error_text<store_model_errc>{store_model_errc::LeaseNotFound, "the lease does not exist or has expired; grant a new one"},
    error_text<store_model_errc>{store_model_errc::LeaseTtlInvalid, "the time to live is not positive; specify at least one second"},
};

const error_category StoreModelCategory{"store stand-in", StoreModelErrors};

/** Returns the iterators to the first entry of a range and past its last one. */
template<typename Values>
auto findRange(Values &values, const key_range &range)
{
    const std::string unboundedEnd(1, '\0');
    const auto first = values.lower_bound(range.key);
    if (range.rangeEnd.empty()) {
        return std::pair{first, values.upper_bound(range.key)};
    }
    if (range.rangeEnd == unboundedEnd) {
        return std::pair{first, values.end()};
    }
    const auto last = range.rangeEnd <= range.key ? first : values.lower_bound(range.rangeEnd);
    return std::pair{first, last};
}

void appendEvent(store_state &state, stored_event event)
{
    state.events.push_back(std::move(event));
    if (state.events.size() > MaxEventHistory) {
        state.events.pop_front();
    }
}

std::error_code validate(const store_state &state, const operation &request)
{
    const auto *put = std::get_if<put_operation>(&request);
    if (put == nullptr) {
        return {};
    }
    if (put->key.empty()) {
        return store_model_errc::KeyEmpty;
    }
    if (put->value.size() > MaxValueBytes) {
        return store_model_errc::ValueTooLarge;
    }
    if (put->lease != 0 && !state.leases.contains(put->lease)) {
        return store_model_errc::LeaseNotFound;
    }
    return {};
}

operation_result execute(store_state &state, const put_operation &request, std::int64_t revision)
{
    auto &value = state.values[request.key];
    value.value = request.value;
    value.lease = request.lease;
    value.modRevision = revision;
    value.createRevision = value.version == 0 ? revision : value.createRevision;
    ++value.version;
    state.revision = revision;
    appendEvent(state, {request.key, value, false});
    return {};
}

operation_result execute(const store_state &state, const range_operation &request, std::int64_t /*revision*/)
{
    operation_result result;
    const auto [first, last] = findRange(state.values, request.range);
    for (auto entry = first; entry != last; ++entry) {
        ++result.count;
        if (request.countOnly || (request.limit > 0 && result.count > request.limit)) {
            continue;
        }
        auto &read = result.entries.emplace_back(key_value{entry->first, entry->second});
        if (request.keysOnly) {
            read.value.value.clear();
        }
    }
    return result;
}

operation_result execute(store_state &state, const delete_operation &request, std::int64_t revision)
{
    operation_result result;
    const auto [first, last] = findRange(state.values, request.range);
    for (auto entry = first; entry != last; ++entry) {
        ++result.count;
        stored_value tombstone;
        tombstone.modRevision = revision;
        appendEvent(state, {entry->first, tombstone, true});
    }
    state.values.erase(first, last);
    state.revision = result.count > 0 ? revision : state.revision;
    return result;
}

void removeLease(store_state &state, std::int64_t lease)
{
    state.leases.erase(lease);
    const auto revision = state.revision + 1;
    std::vector<std::string> keys;
    for (const auto &[key, value] : state.values) {
        if (value.lease == lease) {
            keys.push_back(key);
        }
    }
    for (const auto &key : keys) {
        execute(state, delete_operation{{key, {}}}, revision);
    }
}

template<typename Predicate>
std::size_t removeLeasesIf(store_state &state, Predicate shouldRemove)
{
    std::vector<std::int64_t> leases;
    for (const auto &[id, lease] : state.leases) {
        if (shouldRemove(lease)) {
            leases.push_back(id);
        }
    }
    for (const auto lease : leases) {
        removeLease(state, lease);
    }
    return leases.size();
}

std::int64_t comparedNumber(const store_state &state, const comparison &condition) noexcept
{
    const auto found = state.values.find(condition.key);
    if (found == state.values.end()) {
        return 0;
    }
    switch (condition.target) {
    case comparison_target::Version:
        return found->second.version;
    case comparison_target::CreateRevision:
        return found->second.createRevision;
    case comparison_target::ModRevision:
        break;
    }
    return found->second.modRevision;
}

} // namespace

std::error_code make_error_code(store_model_errc kind) noexcept
{
    return {static_cast<int>(kind), StoreModelCategory};
}

bool contains(const key_range &range, const std::string &key) noexcept
{
    if (range.rangeEnd.empty()) {
        return key == range.key;
    }
    const bool unbounded = range.rangeEnd.size() == 1 && range.rangeEnd.front() == '\0';
    return key >= range.key && (unbounded || key < range.rangeEnd);
}

bool holds(const store_state &state, const comparison &condition) noexcept
{
    const auto number = comparedNumber(state, condition);
    switch (condition.result) {
    case comparison_result::Equal:
        return number == condition.number;
    case comparison_result::NotEqual:
        return number != condition.number;
    case comparison_result::Greater:
        return number > condition.number;
    case comparison_result::Less:
        break;
    }
    return number < condition.number;
}

transaction_result apply(store_state &state, const transaction &request)
{
    transaction_result result;
    result.succeeded = std::ranges::all_of(request.comparisons, [&state](const comparison &condition) {
        return holds(state, condition);
    });
    const auto &branch = result.succeeded ? request.success : request.failure;
    for (const auto &step : branch) {
        result.error = validate(state, step);
        if (result.error) {
            return result;
        }
    }
    const auto revision = state.revision + 1;
    for (const auto &step : branch) {
        result.results.push_back(std::visit(
            [&state, revision](const auto &typed) {
                return execute(state, typed, revision);
            },
            step));
    }
    return result;
}

std::error_code grantLease(store_state &state, seconds ttl, time_point now, std::int64_t &lease)
{
    if (ttl <= seconds::zero()) {
        return store_model_errc::LeaseTtlInvalid;
    }
    lease = ++state.lastLease;
    state.leases[lease] = {ttl, now + ttl};
    return {};
}

seconds keepLeaseAlive(store_state &state, std::int64_t lease, time_point now)
{
    const auto found = state.leases.find(lease);
    if (found == state.leases.end()) {
        return seconds::zero();
    }
    found->second.expiresAt = now + found->second.ttl;
    return found->second.ttl;
}

std::error_code revokeLease(store_state &state, std::int64_t lease)
{
    if (!state.leases.contains(lease)) {
        return store_model_errc::LeaseNotFound;
    }
    removeLease(state, lease);
    return {};
}

std::size_t expireLeases(store_state &state, time_point now)
{
    return removeLeasesIf(state, [now](const stored_lease &lease) {
        return lease.expiresAt <= now;
    });
}

std::size_t expireAllLeases(store_state &state)
{
    return removeLeasesIf(state, [](const stored_lease &) {
        return true;
    });
}

} // namespace ragwortpin::standins
