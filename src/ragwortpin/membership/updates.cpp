#include "ragwortpin/membership/updates.h"

#include "ragwortpin/membership/message_codec.h"
#include "ragwortpin/membership/table.h"

#include <algorithm>
#include <cmath>

namespace ragwortpin::internal {

namespace {

constexpr std::size_t MaxReportedDead{64};

std::uint16_t transmissionLimit(const membership_state &state)
{
    const auto members = static_cast<double>(state.liveMembers + 1);
    return static_cast<std::uint16_t>(std::ceil(std::log2(members)) + state.options.extraTransmissions);
}

bool isSelf(const membership_state &state, const member &target)
{
    return &target == &state.members.front();
}

/** Raises this node's incarnation above that of an update that contradicts its own record, and queues the corrected record. */
void refute(membership_state &state, const member_update &update)
{
    auto &self = state.members.front();
    const auto claimsAlive = update.status == member_status::Alive;
    const auto hash = update.isShort ? update.descriptionHash : descriptionHash(update.record);
    const auto matchesOwnRecord = claimsAlive && update.record.state == self.record.state && hash == self.descriptionHash;
    const auto isOlder = update.record.incarnation < self.record.incarnation;
    if (isOlder || (matchesOwnRecord && update.record.incarnation == self.record.incarnation)) {
        return;
    }
    auto record = self.record;
    record.incarnation = update.record.incarnation + 1;
    replaceMember(state, self, record, member_status::Alive);
    enqueue(state, self, false, urgency::Urgent);
    ++state.counters.refutations;
}

void setSuspectStatus(membership_state &state, time_point now, member &target, const instance_record &record)
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
        setSuspectStatus(state, now, *added, update.record);
    }
    enqueue(state, *added, true, urgency::Normal);
}

/**
 * Returns the record of a known member after an update. Returns std::nullopt if the update is in short form and its description hash
 * differs from the local one, since the descriptive fields are unknown then.
 */
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
    enqueue(state, target, isNewDescription, isUrgent ? urgency::Urgent : urgency::Normal);
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
    setSuspectStatus(state, now, target, *record);
    enqueue(state, target, isNewDescription, urgency::Urgent);
}

/**
 * Records that another node reported a member dead, so that the member is probed next. A report alone does not change the status:
 * a node declares members dead only by its own suspicion timeout.
 */
void recordDeathReport(membership_state &state, const member &target, const member_update &update)
{
    const auto isLocallyAlive = target.status == member_status::Alive && isLive(target);
    if (!isLocallyAlive || update.record.incarnation < target.record.incarnation || state.reportedDead.size() >= MaxReportedDead) {
        return;
    }
    if (std::find(state.reportedDead.begin(), state.reportedDead.end(), target.record.name) == state.reportedDead.end()) {
        state.reportedDead.push_back(target.record.name);
    }
}

std::deque<std::string> &queueOf(membership_state &state, const member &target)
{
    return target.isUrgent ? state.urgentQueue : state.queue;
}

/** Adds the updates of one queue to a message, each at most once. Returns false if the next update does not fit. */
bool addUpdatesFromQueue(membership_state &state,
                         std::deque<std::string> &queue,
                         membership_message &message,
                         std::size_t &bytes,
                         std::uint16_t recipientCount,
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
        target->transmissionsLeft -= std::min(recipientCount, target->transmissionsLeft);
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

void addQueuedUpdates(membership_state &state, membership_message &message, std::size_t bytes, std::uint16_t recipientCount)
{
    const auto limit
        = state.queue.size() > state.options.congestedQueueLength ? state.options.congestedTransmissions : transmissionLimit(state);
    if (addUpdatesFromQueue(state, state.urgentQueue, message, bytes, recipientCount, transmissionLimit(state))) {
        addUpdatesFromQueue(state, state.queue, message, bytes, recipientCount, limit);
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
        recordDeathReport(state, *target, update);
        break;
    }
}

void startSuspicion(membership_state &state, time_point now, member &target)
{
    if (target.status != member_status::Alive || !isLive(target)) {
        return;
    }
    const auto record = target.record;
    setSuspectStatus(state, now, target, record);
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
