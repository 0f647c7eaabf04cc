#include "ragwortpin/rights/slots.h"

#include "ragwortpin/rights/rights.h"

#include <algorithm>
#include <limits>
#include <optional>
#include <utility>

namespace ragwortpin {

namespace {

constexpr duration ShortestReadInterval{seconds{5}};
constexpr duration FreeSlotReadInterval{seconds{1}};
/** Confirmations in the time of one lapse when all succeed. */
constexpr int ConfirmationsPerLapse{4};
/** Attempts to confirm in the time of one lapse when they fail. */
constexpr int RetriesPerLapse{40};
/** Rounds of taking that a node spreads its share of the free slots over. */
constexpr std::uint32_t TakeRounds{4};

[[nodiscard]] duration predecessorAbstention(const rights_settings &settings) noexcept
{
    return settings.loanTerm + 2 * settings.margin;
}

[[nodiscard]] duration slotUse(const rights_settings &settings) noexcept
{
    return fromSeconds(toSeconds(settings.slotLapse) * (1.0 - settings.slotMargin));
}

[[nodiscard]] std::uint32_t zoneMembers(const rights_state &state)
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

[[nodiscard]] duration randomPart(rights_state &state, duration span)
{
    std::uniform_int_distribution<duration::rep> spread{span.count() / 2, span.count()};
    return duration{spread(state.random)};
}

void call(rights_state &state, slot_call about, store_request request)
{
    const auto token = state.nextNumber++;
    if (about.kind != slot_call_kind::Read) {
        state.slots.lastWriteAt = about.startedAt;
    }
    state.slots.calls.emplace(token, std::move(about));
    state.outbox.storeCalls.push_back({token, std::move(request)});
}

[[nodiscard]] bool isCalling(const slot_keeper &keeper, slot_call_kind kind) noexcept
{
    return std::any_of(keeper.calls.begin(), keeper.calls.end(), [kind](const auto &item) {
        return item.second.kind == kind;
    });
}

[[nodiscard]] bool isWriting(const slot_keeper &keeper, std::uint32_t index) noexcept
{
    return std::any_of(keeper.calls.begin(), keeper.calls.end(), [index](const auto &item) {
        return item.second.kind != slot_call_kind::Read && item.second.index == index;
    });
}

void write(rights_state &state, slot_call about, std::int64_t modRevision)
{
    const auto key = slotKey({state.self.availabilityZone, about.index});
    store_transaction transaction{{{key, modRevision}}, {{key, encodeSlotRecord(about.written), 0}}, {key}};
    call(state, std::move(about), std::move(transaction));
}

void startRead(rights_state &state, time_point now)
{
    std::string end{SlotKeyPrefix};
    ++end.back();
    call(state, {slot_call_kind::Read, 0, now, {}, {}}, store_range{std::string{SlotKeyPrefix}, end, 0});
}

[[nodiscard]] slot_record ownRecord(const rights_state &state, const slot_record &previous)
{
    return {state.self.name, state.self.address, state.self.incarnation, previous.confirmations + 1, state.slots.sharesDigest};
}

void take(rights_state &state, std::uint32_t index, const observed_slot &slot, duration abstain, time_point now)
{
    write(state, {slot_call_kind::Take, index, now, ownRecord(state, slot.record), abstain}, slot.modRevision);
}

void confirm(rights_state &state, owned_slot &slot, time_point now)
{
    auto record = slot.record;
    ++record.confirmations;
    if (now >= slot.restampAt) {
        record.sharesDigest = state.slots.sharesDigest;
    }
    slot.nextConfirmAt = now + state.settings.slotLapse / RetriesPerLapse;
    write(state, {slot_call_kind::Confirm, slot.index, now, std::move(record), {}}, slot.modRevision);
}

void release(rights_state &state, owned_slot &slot, time_point now)
{
    slot.nextConfirmAt = now + ShortestReadInterval;
    slot_record record{{}, {}, 0, slot.record.confirmations + 1, slot.record.sharesDigest};
    write(state, {slot_call_kind::Release, slot.index, now, std::move(record), {}}, slot.modRevision);
}

/** Whether nothing that this node lent or granted may still be in use. */
[[nodiscard]] bool nothingOut(const rights_state &state)
{
    return std::all_of(state.workspaces.begin(), state.workspaces.end(), [](const auto &item) {
        return item.second.bucket.loans.empty() && item.second.bucket.batches.empty();
    });
}

/** How long a slot must not be used after it is taken; nothing when it may not be taken at all. */
[[nodiscard]] std::optional<duration> takeable(const rights_state &state, const observed_slot &slot, time_point now)
{
    if (slot.record.owner.empty()) {
        return duration::zero();
    }
    if (slot.record.address == state.self.address) {
        return predecessorAbstention(state.settings);
    }
    if (now >= slot.seenSince + state.settings.slotLapse) {
        return duration::zero();
    }
    return std::nullopt;
}

[[nodiscard]] observed_slot observedOf(const slot_keeper &keeper, const slot_id &id)
{
    const auto found = keeper.observed.find(id);
    return found == keeper.observed.end() ? observed_slot{} : found->second;
}

/** Takes free slots up to this node's share, and every slot of a predecessor at its address. */
void takeFreeSlots(rights_state &state, time_point now)
{
    const auto total = state.settings.slotsPerZone;
    const auto members = zoneMembers(state);
    const auto fairShare = (total + members - 1) / members;
    const auto owned = static_cast<std::uint32_t>(state.slots.owned.size());
    auto allowed = fairShare > owned ? std::min(fairShare - owned, (fairShare + TakeRounds - 1) / TakeRounds) : 0;
    const auto first = static_cast<std::uint32_t>(state.random() % total);
    for (std::uint32_t step{0}; step < total; ++step) {
        const auto index = (first + step) % total;
        const auto slot = observedOf(state.slots, {state.self.availabilityZone, index});
        const auto abstain = takeable(state, slot, now);
        if (!abstain || state.slots.owned.contains(index) || isWriting(state.slots, index)) {
            continue;
        }
        const auto inherited = slot.record.address == state.self.address;
        if (!inherited && allowed == 0) {
            continue;
        }
        allowed -= inherited ? 0 : 1;
        take(state, index, slot, *abstain, now);
    }
}

[[nodiscard]] bool allSettled(const slot_keeper &keeper) noexcept
{
    return std::all_of(keeper.owned.begin(), keeper.owned.end(), [](const auto &item) {
        return item.second.settled;
    });
}

[[nodiscard]] bool anyFree(const rights_state &state, time_point now)
{
    for (std::uint32_t index{0}; index < state.settings.slotsPerZone; ++index) {
        const auto owned = state.slots.owned.contains(index);
        if (!owned && takeable(state, observedOf(state.slots, {state.self.availabilityZone, index}), now)) {
            return true;
        }
    }
    return false;
}

void scheduleRead(rights_state &state, time_point now)
{
    const auto members = zoneMembers(state);
    const auto usual = std::min<duration>(std::max<duration>(ShortestReadInterval, seconds{members}), state.settings.slotLapse / 2);
    const auto wantsSlots = anyFree(state, now) && state.slots.owned.size() * members < state.settings.slotsPerZone;
    const auto interval = wantsSlots ? std::min(FreeSlotReadInterval, usual)
        : allSettled(state.slots)    ? usual
                                     : std::min(ShortestReadInterval, usual);
    state.slots.nextReadAt = now + randomPart(state, interval);
}

/** Records what was read. A slot whose record did not change keeps the time at which it was first seen. */
void observe(slot_keeper &keeper, const store_entry &entry, time_point now)
{
    std::error_code error;
    const auto id = parseSlotKey(entry.key, error);
    if (error) {
        return;
    }
    auto record = decodeSlotRecord(entry.value, error);
    auto &slot = keeper.observed[id];
    if (slot.modRevision != entry.modRevision) {
        // A malformed record has an owner that nobody is, so that it is taken after the lapse only.
        record.owner = error ? "malformed record" : record.owner;
        slot = {std::move(record), entry.modRevision, now};
    }
}

[[nodiscard]] bool othersLimited(const rights_state &state, time_point now)
{
    const auto &observed = state.slots.observed;
    return std::all_of(observed.begin(), observed.end(), [&state, now](const auto &item) {
        const auto &record = item.second.record;
        const auto lapsed = now >= item.second.seenSince + state.settings.slotLapse;
        return record.owner.empty() || lapsed || record.sharesDigest == state.slots.sharesDigest;
    });
}

/** Settles this node's slots if the read shows every owner limited to the shares in force. */
[[nodiscard]] bool settleSlots(rights_state &state, time_point now)
{
    if (!othersLimited(state, now)) {
        return false;
    }
    bool changed{false};
    for (auto &[index, slot] : state.slots.owned) {
        const auto observed = observedOf(state.slots, {state.self.availabilityZone, index});
        const auto known = observed.modRevision == slot.modRevision && !slot.writeUnknown;
        const auto current = known && slot.record.sharesDigest == state.slots.sharesDigest;
        if (current && !slot.settled) {
            slot.settled = true;
            slot.earlierShares.clear();
            changed = true;
        }
    }
    return changed;
}

[[nodiscard]] bool onRead(rights_state &state, const slot_call &about, const store_reply &reply, time_point now)
{
    auto &keeper = state.slots;
    if (reply.error) {
        scheduleRead(state, now);
        return false;
    }
    std::erase_if(keeper.observed, [&reply](const auto &item) {
        return std::none_of(reply.entries.begin(), reply.entries.end(), [key = slotKey(item.first)](const store_entry &entry) {
            return entry.key == key;
        });
    });
    for (const auto &entry : reply.entries) {
        observe(keeper, entry, now);
    }
    const auto afterWrites = keeper.calls.empty() && about.startedAt >= keeper.lastWriteAt;
    const auto changed = afterWrites && settleSlots(state, now);
    if (!state.leaving && keeper.sharesDigest != 0) {
        takeFreeSlots(state, now);
    }
    scheduleRead(state, now);
    return changed;
}

[[nodiscard]] bool onTaken(rights_state &state, const slot_call &about, const store_reply &reply, time_point now)
{
    owned_slot slot;
    slot.index = about.index;
    slot.modRevision = reply.revision;
    slot.record = about.written;
    slot.usableUntil = about.startedAt + slotUse(state.settings);
    slot.usableFrom = now + about.abstain;
    slot.nextConfirmAt = about.startedAt + state.settings.slotLapse / ConfirmationsPerLapse;
    state.slots.owned[about.index] = std::move(slot);
    state.slots.nextReadAt = now;
    return true;
}

/** A failed confirmation: either an earlier one of this process took effect unanswered, or the slot is lost. */
[[nodiscard]] bool onConfirmConflict(rights_state &state, owned_slot &slot, time_point now)
{
    const auto observed = observedOf(state.slots, {state.self.availabilityZone, slot.index});
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

[[nodiscard]] bool onOwnedWritten(rights_state &state, const slot_call &about, const store_reply &reply, time_point now)
{
    const auto found = state.slots.owned.find(about.index);
    if (found == state.slots.owned.end()) {
        return false;
    }
    auto &slot = found->second;
    if (!reply.succeeded) {
        return onConfirmConflict(state, slot, now);
    }
    if (about.kind == slot_call_kind::Release) {
        state.slots.owned.erase(found);
        return true;
    }
    slot.modRevision = reply.revision;
    slot.record = about.written;
    slot.writeUnknown = false;
    slot.usableUntil = about.startedAt + slotUse(state.settings);
    slot.nextConfirmAt = about.startedAt + state.settings.slotLapse / ConfirmationsPerLapse;
    if (slot.record.sharesDigest != state.slots.sharesDigest) {
        slot.nextConfirmAt = std::min(slot.nextConfirmAt, std::max(slot.restampAt, now));
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

void changeShares(rights_state &state, const std::vector<availability_zone> &shares, time_point now)
{
    auto &keeper = state.slots;
    const auto digest = digestShares(shares, state.settings.slotsPerZone);
    if (digest == keeper.sharesDigest) {
        return;
    }
    for (auto &[index, slot] : keeper.owned) {
        if (slot.settled || !slot.earlierShares.empty()) {
            slot.earlierShares.push_back(keeper.shares);
        }
        slot.settled = false;
        slot.restampAt = now + predecessorAbstention(state.settings);
        slot.nextConfirmAt = slot.restampAt;
    }
    keeper.sharesDigest = digest;
    keeper.shares = shares;
}

slot_share usableShare(const rights_state &state, const owned_slot &slot, const workspace &workspace, time_point now)
{
    const auto total = state.settings.slotsPerZone;
    const auto &zone = state.self.availabilityZone;
    const auto usable = now >= slot.usableFrom && (slot.settled || !slot.earlierShares.empty());
    if (!usable) {
        return {};
    }
    auto share = slotShare(workspace, state.slots.shares, zone, total, slot.index);
    for (const auto &earlier : slot.earlierShares) {
        const auto other = slotShare(workspace, earlier, zone, total, slot.index);
        share = {std::min(share.rate, other.rate), std::min(share.cap, other.cap)};
    }
    return share;
}

void tickSlots(rights_state &state, time_point now)
{
    auto &keeper = state.slots;
    (void)expireSlots(state, now);
    if (now >= keeper.nextReadAt && !isCalling(keeper, slot_call_kind::Read) && !hasLeft(state)) {
        startRead(state, now);
    }
    const auto mayRelease = state.leaving && nothingOut(state);
    for (auto &[index, slot] : keeper.owned) {
        if (isWriting(keeper, index)) {
            continue;
        }
        // Before usableFrom, loans that a predecessor at this address made may still be in use.
        if (mayRelease && now >= slot.usableFrom) {
            release(state, slot, now);
        } else if (!mayRelease && now >= slot.nextConfirmAt) {
            confirm(state, slot, now);
        }
    }
}

bool onSlotReply(rights_state &state, std::uint64_t token, const store_reply &reply, time_point now)
{
    auto &keeper = state.slots;
    const auto found = keeper.calls.find(token);
    if (found == keeper.calls.end()) {
        return false;
    }
    const auto about = found->second;
    keeper.calls.erase(found);
    if (about.kind == slot_call_kind::Read) {
        return onRead(state, about, reply, now);
    }
    keeper.lastWriteAt = now;
    if (reply.error) {
        const auto owned = keeper.owned.find(about.index);
        if (owned != keeper.owned.end()) {
            owned->second.writeUnknown = true;
        }
        return false;
    }
    for (const auto &entry : reply.entries) {
        observe(keeper, entry, now);
    }
    if (about.kind != slot_call_kind::Take) {
        return onOwnedWritten(state, about, reply, now);
    }
    return reply.succeeded && onTaken(state, about, reply, now);
}

} // namespace ragwortpin
