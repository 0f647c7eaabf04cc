#ifndef RAGWORTPIN_RIGHTS_SLOTS_H
#define RAGWORTPIN_RIGHTS_SLOTS_H

#include "ragwortpin/config/model.h"
#include "ragwortpin/core/time.h"
#include "ragwortpin/rights/apportion.h"
#include "ragwortpin/rights/errors.h"
#include "ragwortpin/rights/fwd.h"
#include "ragwortpin/rights/settings.h"
#include "ragwortpin/store/store.h"

#include <cstddef>
#include <cstdint>
#include <map>
#include <string>
#include <string_view>
#include <system_error>
#include <tuple>
#include <vector>

namespace ragwortpin {

/** Prefix of the slot records in the store; a record's key is the prefix, the availability zone, '/' and the slot's index. */
inline constexpr std::string_view SlotKeyPrefix{"ragwortpin/slots/"};

/** Identifies a slot. */
struct slot_id
{
    std::string availabilityZone;
    std::uint32_t index{0};

    bool operator==(const slot_id &) const = default;

    [[nodiscard]] bool operator<(const slot_id &other) const noexcept
    {
        return std::tie(availabilityZone, index) < std::tie(other.availabilityZone, other.index);
    }
};

/** Value of a slot's key. An empty owner means that the slot was released. */
struct slot_record
{
    std::string owner;
    std::string address;
    std::uint64_t incarnation{0};
    /** Raised by each confirmation. */
    std::uint64_t confirmations{0};
    /** Digest of the shares that the owner limits itself to. */
    std::uint64_t sharesDigest{0};

    bool operator==(const slot_record &) const = default;
};

/** Key of a slot's record. */
[[nodiscard]] std::string slotKey(const slot_id &id);

/** Parses a slot's key; sets the error if it is none. */
[[nodiscard]] slot_id parseSlotKey(std::string_view key, std::error_code &error);

/** Encodes a slot record with MessagePack. */
[[nodiscard]] std::string encodeSlotRecord(const slot_record &record);

/** Decodes a slot record; sets the error on malformed input. */
[[nodiscard]] slot_record decodeSlotRecord(std::string_view bytes, std::error_code &error);

/** What a node last read of a slot. */
struct observed_slot
{
    slot_record record;
    std::int64_t modRevision{0};
    /** When the answer that first showed this revision arrived. */
    time_point seenSince;
};

/** A slot of this node. */
struct owned_slot
{
    std::uint32_t index{0};
    std::int64_t modRevision{0};
    slot_record record;
    /** End of use unless confirmed again. */
    time_point usableUntil;
    /** Start of use: later than the call that took the slot when a predecessor's loans may be out. */
    time_point usableFrom;
    /** Whether all owners were seen limited to the shares in force; until then the least of the shares below is used. */
    bool settled{false};
    /** Shares used before, oldest first; empty for a slot taken since, which is not used until it is settled. */
    std::vector<std::vector<availability_zone>> earlierShares;
    /** Earliest time at which a lowered share may be recorded, after loans of the higher one have ended. */
    time_point restampAt;
    time_point nextConfirmAt;
    /** Whether the answer to the last write was lost, so that the record may still change under this owner. */
    bool writeUnknown{false};
};

/** Purpose of a store call under way. */
enum class slot_call_kind : unsigned char {
    Read,
    Take,
    Confirm,
    Release,
};

/** A store call under way. */
struct slot_call
{
    slot_call_kind kind{slot_call_kind::Read};
    std::uint32_t index{0};
    time_point startedAt;
    slot_record written;
    /** When a taken slot may first be used, relative to the answer. */
    duration abstain{0};
};

/** Slots of this node and what it has read of the others. */
struct slot_keeper
{
    std::map<slot_id, observed_slot> observed;
    std::map<std::uint32_t, owned_slot> owned;
    std::map<std::uint64_t, slot_call> calls;
    /** Digest of the shares in force at this node. */
    std::uint64_t sharesDigest{0};
    std::vector<availability_zone> shares;
    time_point nextReadAt;
    /** A read shows settled shares only if it began after every write of this node was answered. */
    time_point lastWriteAt;
};

/** Takes new shares. Slots are limited to the lesser of the old and the new until all owners have recorded the new ones. */
void changeShares(rights_state &state, const std::vector<availability_zone> &shares, time_point now);

/** Part of a workspace that a slot of this node may use now. */
[[nodiscard]] slot_share usableShare(const rights_state &state, const owned_slot &slot, const workspace &workspace, time_point now);

/** Starts the store calls that are due: reading, taking, confirming, releasing. */
void tickSlots(rights_state &state, time_point now);

/** Handles the reply to a slot's store call. Returns whether the slots of this node changed. */
[[nodiscard]] bool onSlotReply(rights_state &state, std::uint64_t token, const store_reply &reply, time_point now);

} // namespace ragwortpin

#endif
