#ifndef RAGWORTPIN_RIGHTS_MESSAGES_H
#define RAGWORTPIN_RIGHTS_MESSAGES_H

#include "ragwortpin/core/time.h"
#include "ragwortpin/rights/errors.h"
#include "ragwortpin/rights/fwd.h"

#include <cstddef>
#include <cstdint>
#include <string>
#include <string_view>
#include <system_error>
#include <variant>
#include <vector>

namespace ragwortpin {

/** Most bytes of an encoded message; longer ones are malformed. */
inline constexpr std::size_t MaxRightsMessageBytes{1200};
/** Most entries of a message that carries a list. */
inline constexpr std::size_t MaxRightsMessageItems{16};
/** Most bytes of a workspace name or instance name. */
inline constexpr std::size_t MaxRightsNameBytes{128};

/** A slot owner tells a pool that it has rights to lend. */
struct loan_offer
{
    std::vector<std::string> workspaces;

    bool operator==(const loan_offer &) const = default;
};

/** One loan that a pool asks for or renews. */
struct loan_ask_item
{
    std::string workspace;
    /** Chosen by the borrower, never used twice by the same incarnation. */
    std::uint64_t number{0};
    /** Whether the borrower holds the loan and asks for more time. */
    bool held{false};

    bool operator==(const loan_ask_item &) const = default;
};

/** A pool asks a slot owner for loans. */
struct loan_ask
{
    /** Borrower's clock before it asked; echoed in the answer and meaningless to the lender. */
    time_point sentAt;
    std::vector<loan_ask_item> items;

    bool operator==(const loan_ask &) const = default;
};

/** What a lender lends of one workspace. */
struct loan_grant_item
{
    std::string workspace;
    std::uint64_t number{0};
    /** Whether the loan is made or prolonged; if not, a borrower that holds it must return it. */
    bool granted{false};
    /** Tokens a second that the borrower may add while it holds the loan. */
    double rate{0.0};
    /** Most tokens that may exist under the loan. */
    std::uint32_t cap{0};
    /** Tokens that come with the loan when it starts. */
    double balance{0.0};

    bool operator==(const loan_grant_item &) const = default;
};

/** Answer to a loan_ask. */
struct loan_grant
{
    time_point sentAt;
    std::uint64_t askerIncarnation{0};
    std::vector<loan_grant_item> items;

    bool operator==(const loan_grant &) const = default;
};

/** What a borrower gives back of one loan. */
struct loan_return_item
{
    std::string workspace;
    std::uint64_t number{0};
    double balance{0.0};
    /** Tokens granted to other nodes in batches that are still out. */
    std::uint32_t outstanding{0};

    bool operator==(const loan_return_item &) const = default;
};

/** A borrower gives loans back; it uses them no more. */
struct loan_return
{
    std::vector<loan_return_item> items;

    bool operator==(const loan_return &) const = default;
};

/** A lender asks for its loans back. */
struct loan_recall
{
    std::vector<std::string> workspaces;

    bool operator==(const loan_recall &) const = default;
};

/** A node asks a pool for tokens and tells what became of earlier ones. */
struct batch_ask
{
    std::string workspace;
    /** Rises with each new request of the same incarnation to the same pool. */
    std::uint64_t number{0};
    /** Number of the last grant that the node accepted; it accepts no older one any more. */
    std::uint64_t accepted{0};
    /** Tokens that the node keeps. */
    std::uint32_t kept{0};
    /** Tokens that the node gives back. */
    std::uint32_t returned{0};
    /** Further tokens that the node would like. */
    std::uint32_t wanted{0};
    /** Tokens among them that requests wait for. */
    std::uint32_t urgent{0};
    /** Asker's clock before it asked; echoed in the answer. */
    time_point sentAt;

    bool operator==(const batch_ask &) const = default;
};

/** Answer to a batch_ask. */
struct batch_grant
{
    std::string workspace;
    std::uint64_t number{0};
    std::uint64_t askerIncarnation{0};
    /** Earlier tokens that the pool still counts as the asker's; the asker drops any beyond. */
    std::uint32_t kept{0};
    std::uint32_t tokens{0};
    time_point sentAt;
    /** Time until the pool expects to have a token again; zero when it gave all that was wanted. */
    duration retryAfter{0};
    /** Interval at which a node that keeps asking in vain should ask. */
    duration pace{0};
    /** Whether the asker should report spent tokens before its next request. */
    bool report{false};

    bool operator==(const batch_grant &) const = default;
};

using rights_body = std::variant<loan_offer, loan_ask, loan_grant, loan_return, loan_recall, batch_ask, batch_grant>;

/** A message between the rate limiters of two nodes. */
struct rights_message
{
    /** Instance name and incarnation of the sender. */
    std::string from;
    std::uint64_t incarnation{0};
    rights_body body;

    bool operator==(const rights_message &) const = default;
};

/** Encodes a message with MessagePack, for the payload of an authenticated datagram. */
[[nodiscard]] std::string encodeRightsMessage(const rights_message &message);

/** Decodes a message. On malformed or oversized input sets the error and returns an empty message. */
[[nodiscard]] rights_message decodeRightsMessage(std::string_view bytes, std::error_code &error);

} // namespace ragwortpin

#endif
