#ifndef RAGWORTPIN_RIGHTS_RIGHTS_H
#define RAGWORTPIN_RIGHTS_RIGHTS_H

#include "ragwortpin/config/model.h"
#include "ragwortpin/core/time.h"
#include "ragwortpin/membership/view.h"
#include "ragwortpin/rights/bucket.h"
#include "ragwortpin/rights/fwd.h"
#include "ragwortpin/rights/messages.h"
#include "ragwortpin/rights/settings.h"
#include "ragwortpin/rights/slots.h"
#include "ragwortpin/store/store.h"

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <random>
#include <string>
#include <string_view>
#include <vector>

namespace ragwortpin {

/** A message and the instance that it goes to. */
struct rights_envelope
{
    std::string to;
    rights_message message;

    bool operator==(const rights_envelope &) const = default;
};

/** A call to the store; its reply goes to onStoreReply with the same token. */
struct rights_store_call
{
    std::uint64_t token{0};
    store_request request;

    bool operator==(const rights_store_call &) const = default;
};

/** What the driver has to send. */
struct rights_output
{
    std::vector<rights_envelope> messages;
    std::vector<rights_store_call> storeCalls;
};

/** Answer to a request for one token. */
enum class token_verdict : unsigned char {
    Admitted,
    /** Ask again after the next message, and at retryAfter at the latest. */
    Wait,
    /** Refuse with refusal_kind::RateExceeded as not run; retryAfter goes into Retry-After. */
    Refused,
};

struct token_decision
{
    token_verdict verdict{token_verdict::Refused};
    duration retryAfter{0};

    bool operator==(const token_decision &) const = default;
};

/** Counters of the rate limiter since the start of the process. */
struct rights_counters
{
    std::uint64_t admitted{0};
    std::uint64_t refused{0};
    /** Requests that had to ask again at least once. */
    std::uint64_t waited{0};
    std::uint64_t loansGranted{0};
    std::uint64_t loansExpired{0};
    std::uint64_t batchesGranted{0};
    /** Tokens that a node lost because a batch expired in its hands. */
    std::uint64_t tokensExpired{0};
    std::uint64_t messagesIgnored{0};
    std::uint64_t slotsLost{0};

    bool operator==(const rights_counters &) const = default;
};

/** Tokens that this node holds from one pool. */
struct pool_account
{
    std::string pool;
    std::uint64_t number{0};
    std::uint64_t accepted{0};
    std::uint32_t tokens{0};
    time_point expiresAt;
    /** Whether the latest request is unanswered. */
    bool waiting{false};
    time_point askedAt;
    std::uint32_t unanswered{0};
    /** Until when the pool is not asked, because it was dry or did not answer. */
    time_point quietUntil;
    /** Answers in a row that gave less than was wanted. */
    std::uint32_t dryStreak{0};
    /** Whether the pool wants to learn of spent tokens before the next request. */
    bool reports{false};
    /** Tokens that the pool counts as held by this node. */
    std::uint32_t reported{0};
    time_point usedAt;
};

/** A loan that was asked for. */
struct pending_loan
{
    std::string lender;
    std::uint32_t attempts{0};
};

/** Everything that a node knows of one workspace's rights. */
struct workspace_rights
{
    token_bucket bucket;
    /** Pool that rights are lent to, then those of the other availability zones. */
    std::vector<std::string> pools;
    std::vector<pool_account> accounts;
    /** Requests a second for which tokens were wanted, smoothed. */
    double demand{0.0};
    std::uint32_t takenSinceTick{0};
    /** Requests that were told to wait and have not come back for good. */
    std::uint32_t waiting{0};
    /** When one of them last asked. */
    time_point waitedAt;
    /** Latest loan number seen from each borrower, with its incarnation. */
    std::map<std::string, std::pair<std::uint64_t, std::uint64_t>> lastLoanNumbers;
    /** Loans asked for and not yet answered, by number. */
    std::map<std::uint64_t, pending_loan> pendingLoans;
    time_point offeredAt;
    /** Whether the workspace is in the configuration; a removed one is kept until nothing of it is out. */
    bool configured{false};
};

/** Whole state of the rate limiter of one node. Used from one thread. */
struct rights_state
{
    rights_settings settings;
    rights_identity self;
    std::shared_ptr<const configuration> config;
    std::shared_ptr<const membership_view> members;
    slot_keeper slots;
    std::map<std::string, workspace_rights, std::less<>> workspaces;
    std::uint64_t nextNumber{1};
    time_point tickedAt;
    time_point renewedAt;
    /** When a slot that is not yet usable becomes so. */
    std::optional<time_point> refreshAt;
    /** Random numbers for the choice of free slots and the spread of store calls. */
    std::mt19937_64 random;
    bool leaving{false};
    rights_output outbox;
    rights_counters counters;
};

/** Makes the state of a node that has just started and bound its address. */
[[nodiscard]] rights_state makeRights(const rights_settings &settings, const rights_identity &self, time_point now);

/** Puts a configuration in force. An older revision than the present one is ignored. */
void onConfiguration(rights_state &state, std::shared_ptr<const configuration> config, time_point now);

/** Takes a new view of the live members; pools are chosen from the Ready ones. */
void onMembers(rights_state &state, std::shared_ptr<const membership_view> members, time_point now);

/** Takes one token of a workspace for a request that arrived at arrivedAt and has perhaps asked before. */
[[nodiscard]] token_decision takeToken(rights_state &state, std::string_view workspace, time_point arrivedAt, time_point now);

/** Handles a message of a peer. */
void onMessage(rights_state &state, const rights_message &message, time_point now);

/** Handles the reply to a store call, or its failure. */
void onStoreReply(rights_state &state, std::uint64_t token, const store_reply &reply, time_point now);

/** Renews, expires and returns what is due. To be called every 10 to 50 ms. */
void onTick(rights_state &state, time_point now);

/** Begins to give everything back: no new loans or batches; slots are released when nothing of them is out. */
void beginLeave(rights_state &state, time_point now);

/** Whether a leaving node holds nothing more, so that its process may end without loss. */
[[nodiscard]] bool hasLeft(const rights_state &state);

/** Moves out what is to be sent. To be called after each of the functions above. */
[[nodiscard]] rights_output takeOutput(rights_state &state);

} // namespace ragwortpin

#endif
