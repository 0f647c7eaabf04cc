#include "ragwortpin/membership/updates.h"

#include "ragwortpin/membership/message_codec.h"
#include "ragwortpin/membership/table.h"

#include <algorithm>
#include <cmath>

namespace ragwortpin::internal {

namespace {

constexpr std::size_t MaxDoubted{64};

std::uint16_t transmissionLimit(const membership_state &state)
{
    const auto members = static_cast<double>(state.liveMembers + 1);
    return static_cast<std::uint16_t>(std::ceil(std::log2(members)) + state.options.extraTransmissions);
}

bool isSelf(const membership_state &state, const member &target)
{
    return &target == &state.members.front();
}

/** Raises the own incarnation above a claim that contradicts the own record. */
void refute(membership_state &state, const member_update &update)
{
    auto &self = state.members.front();
    const auto claimsLife = update.status == member_status::Alive;
    const auto hash = update.isShort ? update.descriptionHash : descriptionHash(update.record);
    const auto agrees = claimsLife && update.record.state == self.record.state && hash == self.descriptionHash;
    const auto isOlder = update.record.incarnation < self.record.incarnation;
    if (isOlder || (agrees && update.record.incarnation == self.record.incarnation)) {
        return;
    }
    auto record = self.record;
    record.incarnation = update.record.incarnation + 1;
    replaceMember(state, self, record, member_status::Alive);
    enqueue(state, self, false, urgency::Urgent);
    ++state.counters.refutations;
}

void setSuspect(membership_state &state, time_point now, member &target, const instance_record &record)
{
    replaceMember(state, target, record, member_status::Suspect);
    target.deadline = now + state.options.suspicionTimeout;
    state.suspects.push_back(record.name);
    ++state.counters.suspicions;
}

void insertUnknown(membership_state &state, time_point now, const member_update &update)
{
    if (update.isShort || update.status == member_status::Dead || update.record.state == instance_state::Gone) {
        return;
    }
    auto *added = insertMember(state, update.record);
    if (added == nullptr) {
        return;
    }
    if (update.status == member_status::Suspect) {
        setSuspect(state, now, *added, update.record);
    }
    enqueue(state, *added, true, urgency::Usual);
}

/** Record that a claim about a known member yields, or nothing when its short form refers to a description unknown here. */
std::optional<instance_record> mergedRecord(const member &known, const member_update &update)
{
    if (!update.isShort) {
        auto record = update.record;
        record.revision = std::max(record.revision, known.record.revision);
        return record;
    }
    if (update.descriptionHash != known.descriptionHash) {
        return std::nullopt;
    }
    auto record = known.record;
    record.incarnation = update.record.incarnation;
    record.state = update.record.state;
    return record;
}

void applyAlive(membership_state &state, time_point now, member &target, const member_update &update)
{
    if (update.record.incarnation <= target.record.incarnation) {
        return;
    }
    const auto record = mergedRecord(target, update);
    if (!record) {
        return;
    }
    const auto isNewDescription = descriptionHash(*record) != target.descriptionHash;
    const auto isUrgent = record->state != target.record.state || target.status != member_status::Alive;
    replaceMember(state, target, *record, member_status::Alive);
    if (record->state == instance_state::Gone) {
        target.deadline = now + state.options.goneRetention;
    }
    enqueue(state, target, isNewDescription, isUrgent ? urgency::Urgent : urgency::Usual);
}

void applySuspicion(membership_state &state, time_point now, member &target, const member_update &update)
{
    const auto isNewer = update.record.incarnation > target.record.incarnation;
    if (update.record.incarnation < target.record.incarnation || (!isNewer && (target.status != member_status::Alive || !isLive(target)))) {
        return;
    }
    const auto record = mergedRecord(target, update);
    if (!record) {
        return;
    }
    const auto isNewDescription = descriptionHash(*record) != target.descriptionHash;
    setSuspect(state, now, target, *record);
    enqueue(state, target, isNewDescription, urgency::Urgent);
}

/** Notes that others believe a member dead. Only this node's own probes decide whether it is. */
void applyDeath(membership_state &state, const member &target, const member_update &update)
{
    const auto isDoubt = target.status == member_status::Alive && isLive(target);
    if (!isDoubt || update.record.incarnation < target.record.incarnation || state.doubted.size() >= MaxDoubted) {
        return;
    }
    if (std::find(state.doubted.begin(), state.doubted.end(), target.record.name) == state.doubted.end()) {
        state.doubted.push_back(target.record.name);
    }
}

std::deque<std::string> &queueOf(membership_state &state, const member &target)
{
    return target.isUrgent ? state.urgentQueue : state.queue;
}

/** Adds updates of one queue, each at most once. Returns false when the next one does not fit. */
bool addFrom(membership_state &state,
             std::deque<std::string> &queue,
             membership_message &message,
             std::size_t &bytes,
             std::uint16_t copies,
             std::uint16_t limit)
{
    for (auto remaining = queue.size(); remaining > 0; --remaining) {
        const auto name = queue.front();
        auto *target = findMember(state, name);
        if (target == nullptr) {
            queue.pop_front();
            continue;
        }
        auto update = updateOf(*target, !target->needsFullUpdate);
        const auto size = encodedSizeBound(update);
        if (size > bytes) {
            return false;
        }
        bytes -= size;
        message.updates.push_back(std::move(update));
        queue.pop_front();
        target->transmissionsLeft = std::min(target->transmissionsLeft, limit);
        target->transmissionsLeft -= std::min(copies, target->transmissionsLeft);
        target->isQueued = target->transmissionsLeft > 0;
        if (target->isQueued) {
            queue.push_back(name);
        }
    }
    return true;
}

} // namespace

void enqueue(membership_state &state, member &target, bool needsFullUpdate, urgency value)
{
    if (target.isQueued) {
        std::erase(queueOf(state, target), target.record.name);
    } else {
        target.needsFullUpdate = false;
    }
    target.isQueued = true;
    target.isUrgent = value == urgency::Urgent;
    target.needsFullUpdate = target.needsFullUpdate || needsFullUpdate;
    target.transmissionsLeft = transmissionLimit(state);
    queueOf(state, target).push_front(target.record.name);
}

member_update updateOf(const member &value, bool isShort)
{
    member_update update;
    update.status = value.status;
    update.isShort = isShort;
    if (isShort) {
        update.record.name = value.record.name;
        update.record.incarnation = value.record.incarnation;
        update.record.state = value.record.state;
        update.descriptionHash = value.descriptionHash;
    } else {
        update.record = value.record;
    }
    return update;
}

void addQueuedUpdates(membership_state &state, membership_message &message, std::size_t bytes, std::uint16_t copies)
{
    const auto limit = state.queue.size() > state.options.crowdedQueue ? state.options.crowdedTransmissions : transmissionLimit(state);
    if (addFrom(state, state.urgentQueue, message, bytes, copies, transmissionLimit(state))) {
        addFrom(state, state.queue, message, bytes, copies, limit);
    }
}

void applyUpdate(membership_state &state, time_point now, const member_update &update)
{
    auto *target = findMember(state, update.record.name);
    if (target == nullptr) {
        insertUnknown(state, now, update);
        return;
    }
    if (isSelf(state, *target)) {
        refute(state, update);
        return;
    }
    switch (update.status) {
    case member_status::Alive:
        applyAlive(state, now, *target, update);
        break;
    case member_status::Suspect:
        applySuspicion(state, now, *target, update);
        break;
    case member_status::Dead:
        applyDeath(state, *target, update);
        break;
    }
}

void suspect(membership_state &state, time_point now, member &target)
{
    if (target.status != member_status::Alive || !isLive(target)) {
        return;
    }
    const auto record = target.record;
    setSuspect(state, now, target, record);
    enqueue(state, target, false, urgency::Urgent);
}

void expireSuspicions(membership_state &state, time_point now)
{
    std::erase_if(state.suspects, [&state, now](const std::string &name) {
        auto *target = findMember(state, name);
        if (target == nullptr || target->status != member_status::Suspect) {
            return true;
        }
        if (now < target->deadline) {
            return false;
        }
        const auto record = target->record;
        replaceMember(state, *target, record, member_status::Dead);
        target->deadline = now + state.options.deadRetention;
        ++state.counters.deaths;
        return true;
    });
}

void removeExpired(membership_state &state, time_point now)
{
    for (std::size_t index{state.members.size()}; index-- > 1;) {
        const auto &candidate = state.members[index];
        if (!isLive(candidate) && now >= candidate.deadline) {
            eraseMember(state, index);
        }
    }
}

} // namespace ragwortpin::internal
