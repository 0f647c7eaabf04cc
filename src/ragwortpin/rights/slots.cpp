#include "ragwortpin/rights/slots.h"

#include "ragwortpin/rights/rights.h"

#include <algorithm>
#include <limits>
#include <optional>
#include <utility>

namespace ragwortpin {

namespace {

constexpr duration MinReadInterval{seconds{5}};
constexpr duration FreeSlotReadInterval{seconds{1}};
/** Number of confirmations per slotLapse while all succeed. */
constexpr int ConfirmationsPerLapse{4};
/** Number of attempts to confirm per slotLapse while they fail. */
constexpr int RetriesPerLapse{40};
/** Number of rounds over which a node acquires its fair share of the slots. */
constexpr std::uint32_t AcquisitionRounds{4};

/** Returns the time after which loans made before now, under other shares or by a previous process at this address, have ended. */
[[nodiscard]] duration earlierLoansWait(const rights_settings &settings) noexcept
{
    return settings.loanTerm + 2 * settings.clockMargin;
}

/** Returns the time for which a slot may be used after its confirmation was sent. */
[[nodiscard]] duration slotUsableTime(const rights_settings &settings) noexcept
{
    return fromSeconds(toSeconds(settings.slotLapse) * (1.0 - settings.slotMarginFraction));
}

/** Returns the number of ready instances in this availability zone, at least one. */
[[nodiscard]] std::uint32_t readyZoneMembers(const rights_state &state)
{
    if (!state.members) {
        return 1;
    }
    const auto &instances = state.members->instances;
    const auto count = std::count_if(instances.begin(), instances.end(), [&state](const instance_record &instance) {
        return instance.availabilityZone == state.self.availabilityZone && instance.state == instance_state::Ready;
    });
    return std::max<std::uint32_t>(1, static_cast<std::uint32_t>(count));
}

/** Returns a random duration between half of the span and the whole span. */
[[nodiscard]] duration jitteredInterval(rights_state &state, duration span)
{
    std::uniform_int_distribution<duration::rep> spread{span.count() / 2, span.count()};
    return duration{spread(state.random)};
}

void startStoreCall(rights_state &state, slot_call storeCall, store_request request)
{
    const auto token = state.nextNumber++;
    if (storeCall.kind != slot_call_kind::Read) {
        state.slots.lastWriteAt = storeCall.startedAt;
    }
    state.slots.calls.emplace(token, std::move(storeCall));
    state.outbox.storeCalls.push_back({token, std::move(request)});
}

[[nodiscard]] bool isCalling(const slot_table &table, slot_call_kind kind) noexcept
{
    return std::any_of(table.calls.begin(), table.calls.end(), [kind](const auto &item) {
        return item.second.kind == kind;
    });
}

[[nodiscard]] bool isWriting(const slot_table &table, std::uint32_t index) noexcept
{
    return std::any_of(table.calls.begin(), table.calls.end(), [index](const auto &item) {
        return item.second.kind != slot_call_kind::Read && item.second.index == index;
    });
}

void writeSlot(rights_state &state, slot_call storeCall, std::int64_t modRevision)
{
    const auto key = slotKey({state.self.availabilityZone, storeCall.index});
    store_transaction transaction{{{key, modRevision}}, {{key, encodeSlotRecord(storeCall.writtenRecord), 0}}, {key}};
    startStoreCall(state, std::move(storeCall), std::move(transaction));
}

void startRead(rights_state &state, time_point now)
{
    std::string end{SlotKeyPrefix};
    ++end.back();
    startStoreCall(state, {slot_call_kind::Read, 0, now, {}, {}}, store_range{std::string{SlotKeyPrefix}, end, 0});
}

[[nodiscard]] slot_record ownRecord(const rights_state &state, const slot_record &previous)
{
    return {state.self.name, state.self.address, state.self.incarnation, previous.confirmations + 1, state.slots.sharesDigest};
}

void acquireSlot(rights_state &state, std::uint32_t index, const observed_slot &slot, duration useDelay, time_point now)
{
    writeSlot(state, {slot_call_kind::Acquire, index, now, ownRecord(state, slot.record), useDelay}, slot.modRevision);
}

void confirmSlot(rights_state &state, owned_slot &slot, time_point now)
{
    auto record = slot.record;
    ++record.confirmations;
    if (now >= slot.sharesRecordableFrom) {
        record.sharesDigest = state.slots.sharesDigest;
    }
    slot.nextConfirmAt = now + state.settings.slotLapse / RetriesPerLapse;
    writeSlot(state, {slot_call_kind::Confirm, slot.index, now, std::move(record), {}}, slot.modRevision);
}

void releaseSlot(rights_state &state, owned_slot &slot, time_point now)
{
    slot.nextConfirmAt = now + MinReadInterval;
    slot_record record{{}, {}, 0, slot.record.confirmations + 1, slot.record.sharesDigest};
    writeSlot(state, {slot_call_kind::Release, slot.index, now, std::move(record), {}}, slot.modRevision);
}

/** Returns whether no loan or batch of this node can still be in use. */
[[nodiscard]] bool hasNothingOutstanding(const rights_state &state)
{
    return std::all_of(state.workspaces.begin(), state.workspaces.end(), [](const auto &item) {
        return item.second.bucket.loans.empty() && item.second.bucket.batches.empty();
    });
}

/**
 * Returns the time for which a slot must not be used after its acquisition, or no value if it must not be acquired. A slot may be
 * acquired if it was released, if its owner has not confirmed it within slotLapse, or if its owner is a previous process at this
 * address, whose loans may still be in use.
 */
[[nodiscard]] std::optional<duration> acquisitionDelay(const rights_state &state, const observed_slot &slot, time_point now)
{
    if (slot.record.owner.empty()) {
        return duration::zero();
    }
    if (slot.record.address == state.self.address) {
        return earlierLoansWait(state.settings);
    }
    if (now >= slot.firstSeenAt + state.settings.slotLapse) {
        return duration::zero();
    }
    return std::nullopt;
}

[[nodiscard]] observed_slot findObserved(const slot_table &table, const slot_id &id)
{
    const auto found = table.observed.find(id);
    return found == table.observed.end() ? observed_slot{} : found->second;
}

/** Acquires free slots up to the fair share of this node, and every slot of a previous process at its address. */
void acquireFreeSlots(rights_state &state, time_point now)
{
    const auto total = state.settings.slotsPerZone;
    const auto members = readyZoneMembers(state);
    const auto fairShare = (total + members - 1) / members;
    const auto owned = static_cast<std::uint32_t>(state.slots.owned.size());
    auto allowed = fairShare > owned ? std::min(fairShare - owned, (fairShare + AcquisitionRounds - 1) / AcquisitionRounds) : 0;
    const auto first = static_cast<std::uint32_t>(state.random() % total);
    for (std::uint32_t step{0}; step < total; ++step) {
        const auto index = (first + step) % total;
        const auto slot = findObserved(state.slots, {state.self.availabilityZone, index});
        const auto useDelay = acquisitionDelay(state, slot, now);
        if (!useDelay || state.slots.owned.contains(index) || isWriting(state.slots, index)) {
            continue;
        }
        const auto inherited = slot.record.address == state.self.address;
        if (!inherited && allowed == 0) {
            continue;
        }
        allowed -= inherited ? 0 : 1;
        acquireSlot(state, index, slot, *useDelay, now);
    }
}

[[nodiscard]] bool allSettled(const slot_table &table) noexcept
{
    return std::all_of(table.owned.begin(), table.owned.end(), [](const auto &item) {
        return item.second.settled;
    });
}

[[nodiscard]] bool hasFreeSlot(const rights_state &state, time_point now)
{
    for (std::uint32_t index{0}; index < state.settings.slotsPerZone; ++index) {
        const auto owned = state.slots.owned.contains(index);
        if (!owned && acquisitionDelay(state, findObserved(state.slots, {state.self.availabilityZone, index}), now)) {
            return true;
        }
    }
    return false;
}

void scheduleRead(rights_state &state, time_point now)
{
    const auto members = readyZoneMembers(state);
    const auto regularInterval = std::min<duration>(std::max<duration>(MinReadInterval, seconds{members}), state.settings.slotLapse / 2);
    const auto wantsSlots = hasFreeSlot(state, now) && state.slots.owned.size() * members < state.settings.slotsPerZone;
    const auto interval = wantsSlots ? std::min(FreeSlotReadInterval, regularInterval)
        : allSettled(state.slots)    ? regularInterval
                                     : std::min(MinReadInterval, regularInterval);
    state.slots.nextReadAt = now + jitteredInterval(state, interval);
}

/** Stores a record that was read. If its revision did not change, the time at which it was first seen is kept. */
void recordObserved(slot_table &table, const store_entry &entry, time_point now)
{
    std::error_code error;
    const auto id = parseSlotKey(entry.key, error);
    if (error) {
        return;
    }
    auto record = decodeSlotRecord(entry.value, error);
    auto &slot = table.observed[id];
    if (slot.modRevision != entry.modRevision) {
        // A malformed record gets a name that no instance has as its owner, so that the slot is acquired only after slotLapse.
        record.owner = error ? "malformed record" : record.owner;
        slot = {std::move(record), entry.modRevision, now};
    }
}

/** Returns whether the records of all slots that are owned and not lapsed carry the current shares. */
[[nodiscard]] bool ownersUseCurrentShares(const rights_state &state, time_point now)
{
    const auto &observed = state.slots.observed;
    return std::all_of(observed.begin(), observed.end(), [&state, now](const auto &item) {
        const auto &record = item.second.record;
        const auto lapsed = now >= item.second.firstSeenAt + state.settings.slotLapse;
        return record.owner.empty() || lapsed || record.sharesDigest == state.slots.sharesDigest;
    });
}

/**
 * Lifts the limit to previous shares from this node's slots if the read shows that the records of all owners carry the current
 * shares. Returns whether a slot changed.
 */
[[nodiscard]] bool settleSlots(rights_state &state, time_point now)
{
    if (!ownersUseCurrentShares(state, now)) {
        return false;
    }
    bool changed{false};
    for (auto &[index, slot] : state.slots.owned) {
        const auto observed = findObserved(state.slots, {state.self.availabilityZone, index});
        const auto known = observed.modRevision == slot.modRevision && !slot.lastWriteUnknown;
        const auto current = known && slot.record.sharesDigest == state.slots.sharesDigest;
        if (current && !slot.settled) {
            slot.settled = true;
            slot.previousShares.clear();
            changed = true;
        }
    }
    return changed;
}

[[nodiscard]] bool onRead(rights_state &state, const slot_call &storeCall, const store_reply &reply, time_point now)
{
    auto &table = state.slots;
    if (reply.error) {
        scheduleRead(state, now);
        return false;
    }
    std::erase_if(table.observed, [&reply](const auto &item) {
        return std::none_of(reply.entries.begin(), reply.entries.end(), [key = slotKey(item.first)](const store_entry &entry) {
            return entry.key == key;
        });
    });
    for (const auto &entry : reply.entries) {
        recordObserved(table, entry, now);
    }
    const auto afterWrites = table.calls.empty() && storeCall.startedAt >= table.lastWriteAt;
    const auto changed = afterWrites && settleSlots(state, now);
    if (!state.leaving && table.sharesDigest != 0) {
        acquireFreeSlots(state, now);
    }
    scheduleRead(state, now);
    return changed;
}

[[nodiscard]] bool onSlotAcquired(rights_state &state, const slot_call &storeCall, const store_reply &reply, time_point now)
{
    owned_slot slot;
    slot.index = storeCall.index;
    slot.modRevision = reply.revision;
    slot.record = storeCall.writtenRecord;
    slot.usableUntil = storeCall.startedAt + slotUsableTime(state.settings);
    slot.usableFrom = now + storeCall.useDelay;
    slot.nextConfirmAt = storeCall.startedAt + state.settings.slotLapse / ConfirmationsPerLapse;
    state.slots.owned[storeCall.index] = std::move(slot);
    state.slots.nextReadAt = now;
    return true;
}

/**
 * Handles a write that failed because the record has another revision. Either an earlier write of this process took effect although
 * its reply was lost, or another node owns the slot now. Returns whether the slot was lost.
 */
[[nodiscard]] bool onConfirmConflict(rights_state &state, owned_slot &slot, time_point now)
{
    const auto observed = findObserved(state.slots, {state.self.availabilityZone, slot.index});
    if (observed.record.owner == state.self.name && observed.record.incarnation == state.self.incarnation) {
        slot.modRevision = observed.modRevision;
        slot.record = observed.record;
        slot.nextConfirmAt = now;
        return false;
    }
    ++state.counters.slotsLost;
    state.slots.owned.erase(slot.index);
    return true;
}

[[nodiscard]] bool onOwnedWritten(rights_state &state, const slot_call &storeCall, const store_reply &reply, time_point now)
{
    const auto found = state.slots.owned.find(storeCall.index);
    if (found == state.slots.owned.end()) {
        return false;
    }
    auto &slot = found->second;
    if (!reply.succeeded) {
        return onConfirmConflict(state, slot, now);
    }
    if (storeCall.kind == slot_call_kind::Release) {
        state.slots.owned.erase(found);
        return true;
    }
    slot.modRevision = reply.revision;
    slot.record = storeCall.writtenRecord;
    slot.lastWriteUnknown = false;
    slot.usableUntil = storeCall.startedAt + slotUsableTime(state.settings);
    slot.nextConfirmAt = storeCall.startedAt + state.settings.slotLapse / ConfirmationsPerLapse;
    if (slot.record.sharesDigest != state.slots.sharesDigest) {
        slot.nextConfirmAt = std::min(slot.nextConfirmAt, std::max(slot.sharesRecordableFrom, now));
    }
    if (!slot.settled) {
        state.slots.nextReadAt = std::min(state.slots.nextReadAt, now);
    }
    return true;
}

[[nodiscard]] bool expireSlots(rights_state &state, time_point now)
{
    const auto lost = std::erase_if(state.slots.owned, [now](const auto &item) {
        return item.second.usableUntil <= now;
    });
    state.counters.slotsLost += lost;
    return lost > 0;
}

} // namespace

void applyShares(rights_state &state, const std::vector<availability_zone> &shares, time_point now)
{
    auto &table = state.slots;
    const auto digest = digestShares(shares, state.settings.slotsPerZone);
    if (digest == table.sharesDigest) {
        return;
    }
    for (auto &[index, slot] : table.owned) {
        if (slot.settled || !slot.previousShares.empty()) {
            slot.previousShares.push_back(table.shares);
        }
        slot.settled = false;
        slot.sharesRecordableFrom = now + earlierLoansWait(state.settings);
        slot.nextConfirmAt = slot.sharesRecordableFrom;
    }
    table.sharesDigest = digest;
    table.shares = shares;
}

slot_share usableShare(const rights_state &state, const owned_slot &slot, const workspace &workspace, time_point now)
{
    const auto total = state.settings.slotsPerZone;
    const auto &zone = state.self.availabilityZone;
    const auto usable = now >= slot.usableFrom && (slot.settled || !slot.previousShares.empty());
    if (!usable) {
        return {};
    }
    auto share = slotShare(workspace, state.slots.shares, zone, total, slot.index);
    for (const auto &earlier : slot.previousShares) {
        const auto other = slotShare(workspace, earlier, zone, total, slot.index);
        share = {std::min(share.rate, other.rate), std::min(share.cap, other.cap)};
    }
    return share;
}

void tickSlots(rights_state &state, time_point now)
{
    auto &table = state.slots;
    (void)expireSlots(state, now);
    if (now >= table.nextReadAt && !isCalling(table, slot_call_kind::Read) && !isReleaseComplete(state)) {
        startRead(state, now);
    }
    const auto mayRelease = state.leaving && hasNothingOutstanding(state);
    for (auto &[index, slot] : table.owned) {
        if (isWriting(table, index)) {
            continue;
        }
        // Before usableFrom, loans made by a previous process at this address may still be in use.
        if (mayRelease && now >= slot.usableFrom) {
            releaseSlot(state, slot, now);
        } else if (!mayRelease && now >= slot.nextConfirmAt) {
            confirmSlot(state, slot, now);
        }
    }
}

bool onSlotReply(rights_state &state, std::uint64_t token, const store_reply &reply, time_point now)
{
    auto &table = state.slots;
    const auto found = table.calls.find(token);
    if (found == table.calls.end()) {
        return false;
    }
    const auto storeCall = found->second;
    table.calls.erase(found);
    if (storeCall.kind == slot_call_kind::Read) {
        return onRead(state, storeCall, reply, now);
    }
    table.lastWriteAt = now;
    if (reply.error) {
        const auto owned = table.owned.find(storeCall.index);
        if (owned != table.owned.end()) {
            owned->second.lastWriteUnknown = true;
        }
        return false;
    }
    for (const auto &entry : reply.entries) {
        recordObserved(table, entry, now);
    }
    if (storeCall.kind != slot_call_kind::Acquire) {
        return onOwnedWritten(state, storeCall, reply, now);
    }
    return reply.succeeded && onSlotAcquired(state, storeCall, reply, now);
}

} // namespace ragwortpin
