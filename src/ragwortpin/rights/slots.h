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

/** Prefix of the keys of slot records in the store. It is followed by the availability zone, '/' and the index of the slot. */
inline constexpr std::string_view SlotKeyPrefix{"ragwortpin/slots/"};

/** Identifies a slot: one of the equal parts into which the share of an availability zone is divided and that a node can own. */
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

/** Record of a slot in the store. An empty owner means that the slot was released. */
struct slot_record
{
    std::string owner;
    std::string address;
    std::uint64_t incarnation{0};
    /** Incremented by each write of the record. */
    std::uint64_t confirmations{0};
    /** Digest of the shares that limit the owner. */
    std::uint64_t sharesDigest{0};

    bool operator==(const slot_record &) const = default;
};

/** Returns the key of a slot's record. */
[[nodiscard]] std::string slotKey(const slot_id &id);

/** Parses the key of a slot's record. Sets the error if the key is malformed. */
[[nodiscard]] slot_id parseSlotKey(std::string_view key, std::error_code &error);

/** Encodes a slot record with MessagePack. */
[[nodiscard]] std::string encodeSlotRecord(const slot_record &record);

/** Decodes a slot record. Sets the error and returns an empty record if the input is malformed. */
[[nodiscard]] slot_record decodeSlotRecord(std::string_view bytes, std::error_code &error);

/** Record of a slot as last read from the store. */
struct observed_slot
{
    slot_record record;
    std::int64_t modRevision{0};
    /** Arrival time of the store reply that first contained this revision. */
    time_point firstSeenAt;
};

/** A slot that this node owns. */
struct owned_slot
{
    std::uint32_t index{0};
    std::int64_t modRevision{0};
    slot_record record;
    /** The slot must not be used from this time on, unless it is confirmed before. */
    time_point usableUntil;
    /**
     * The slot must not be used before this time. Later than the acquisition if a previous process at this address owned the slot, whose
     * loans may still be in use.
     */
    time_point usableFrom;
    /**
     * Whether a read has shown that the records of all owners carry the current shares. Until then the slot is limited to the minimum of
     * the current and the previous shares.
     */
    bool settled{false};
    /** Shares used before the current ones, oldest first. Empty for a slot acquired after the change, which is not used until settled. */
    std::vector<std::vector<availability_zone>> previousShares;
    /** Earliest time at which changed shares may be written to the record: when loans made under the previous shares have ended. */
    time_point sharesRecordableFrom;
    time_point nextConfirmAt;
    /** Whether the last write failed without a definite result, so that it may still take effect later. */
    bool lastWriteUnknown{false};
};

/** Purpose of a pending store call. */
enum class slot_call_kind : unsigned char {
    Read,
    Acquire,
    Confirm,
    Release,
};

/** A pending store call. */
struct slot_call
{
    slot_call_kind kind{slot_call_kind::Read};
    std::uint32_t index{0};
    time_point startedAt;
    /** Record that the call writes; empty for a read. */
    slot_record writtenRecord;
    /** Time from the reply until an acquired slot may be used. */
    duration useDelay{0};
};

/** Slots that this node owns, the last known records of all slots, and the pending store calls. */
struct slot_table
{
    std::map<slot_id, observed_slot> observed;
    std::map<std::uint32_t, owned_slot> owned;
    std::map<std::uint64_t, slot_call> calls;
    /** Digest of the current shares at this node; zero before the first configuration. */
    std::uint64_t sharesDigest{0};
    std::vector<availability_zone> shares;
    time_point nextReadAt;
    /** Time of the last start or reply of a write. Only a read started later, with no write pending, can show that shares are settled. */
    time_point lastWriteAt;
};

/** Applies new shares. Slots are limited to the minimum of the old and new shares until all owners have recorded the new ones. */
void applyShares(rights_state &state, const std::vector<availability_zone> &shares, time_point now);

/** Returns the part of a workspace's rate and burst that this node may use now because it owns the slot. */
[[nodiscard]] slot_share usableShare(const rights_state &state, const owned_slot &slot, const workspace &workspace, time_point now);

/** Drops owned slots whose time of use is over and starts the reads, confirmations and releases that are due. */
void tickSlots(rights_state &state, time_point now);

/** Handles the reply to a store call for slots. Returns whether the slots of this node or their usable shares changed. */
[[nodiscard]] bool onSlotReply(rights_state &state, std::uint64_t token, const store_reply &reply, time_point now);

} // namespace ragwortpin

#endif
