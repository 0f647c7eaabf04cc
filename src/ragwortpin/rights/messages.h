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

/** Maximum size of an encoded message in bytes. Longer messages are rejected. */
inline constexpr std::size_t MaxRightsMessageBytes{1200};
/** Maximum number of items in a message that carries a list. */
inline constexpr std::size_t MaxRightsMessageItems{16};
/** Maximum size of a workspace name or instance name in bytes. */
inline constexpr std::size_t MaxRightsNameBytes{128};

/** Sent by a slot owner to a pool: it has rights of these workspaces to lend. */
struct loan_offer
{
    std::vector<std::string> workspaces;

    bool operator==(const loan_offer &) const = default;
};

/** One loan that a pool requests or renews. */
struct loan_request_item
{
    std::string workspace;
    /** Chosen by the borrower. Unique for its incarnation. */
    std::uint64_t number{0};
    /** Whether the borrower holds the loan and requests an extension. */
    bool isRenewal{false};

    bool operator==(const loan_request_item &) const = default;
};

/** Sent by a pool to a slot owner to request or renew loans. */
struct loan_request
{
    /** Borrower's clock when it sent the request. Echoed in the reply; the lender does not use it. */
    time_point sentAt;
    std::vector<loan_request_item> items;

    bool operator==(const loan_request &) const = default;
};

/** Reply to one loan_request_item: the rights that the lender lends of one workspace. */
struct loan_grant_item
{
    std::string workspace;
    std::uint64_t number{0};
    /** Whether the loan is made or extended. If not, a borrower that holds it must return it. */
    bool granted{false};
    /** Tokens per second that the borrower may add while it holds the loan. */
    double rate{0.0};
    /** Maximum number of tokens that may exist under the loan, in the bucket and in batches. */
    std::uint32_t cap{0};
    /** Tokens that are transferred when the loan starts. */
    double balance{0.0};

    bool operator==(const loan_grant_item &) const = default;
};

/** Reply to a loan_request. */
struct loan_grant
{
    /** Echoed from the request. */
    time_point sentAt;
    std::uint64_t requesterIncarnation{0};
    std::vector<loan_grant_item> items;

    bool operator==(const loan_grant &) const = default;
};

/** One loan that a borrower returns. */
struct loan_return_item
{
    std::string workspace;
    std::uint64_t number{0};
    /** Tokens that go back to the lender. */
    double balance{0.0};
    /** Tokens that the borrower granted to other nodes in batches under this loan and that may still be spent. */
    std::uint32_t outstanding{0};

    bool operator==(const loan_return_item &) const = default;
};

/** Sent by a borrower to return loans, which it has stopped using. */
struct loan_return
{
    std::vector<loan_return_item> items;

    bool operator==(const loan_return &) const = default;
};

/** Sent by a lender to recall its loans of these workspaces. */
struct loan_recall
{
    std::vector<std::string> workspaces;

    bool operator==(const loan_recall &) const = default;
};

/** Sent by a node to a pool to request tokens and to report on those granted before. Tokens neither kept nor returned were spent. */
struct batch_request
{
    std::string workspace;
    /** Increases with each new request of the same incarnation to the same pool. */
    std::uint64_t number{0};
    /** Number of the last grant that the node accepted. It ignores older grants from now on. */
    std::uint64_t acceptedNumber{0};
    /** Tokens that the node still holds and keeps. */
    std::uint32_t kept{0};
    /** Tokens that the node returns. */
    std::uint32_t returned{0};
    /** Number of further tokens requested; zero in a mere report, which gets no reply. */
    std::uint32_t wanted{0};
    /** Number of them that waiting requests need. */
    std::uint32_t urgent{0};
    /** Requesting node's clock when it sent the request. Echoed in the reply. */
    time_point sentAt;

    bool operator==(const batch_request &) const = default;
};

/** Reply to a batch_request. */
struct batch_grant
{
    std::string workspace;
    std::uint64_t number{0};
    std::uint64_t requesterIncarnation{0};
    /** Earlier tokens that the pool still counts as held by the requesting node, which drops any beyond this number. */
    std::uint32_t kept{0};
    /** Newly granted tokens. */
    std::uint32_t tokens{0};
    /** Echoed from the request. */
    time_point sentAt;
    /** Time until the pool expects to have a token again; zero if it granted at least one token and met the urgent demand. */
    duration retryAfter{0};
    /** Upper limit of the backoff between requests, unless retryAfter is longer, of a node whose requests are not met. */
    duration requestInterval{0};
    /** Whether the requesting node should report spent tokens before its next request. */
    bool wantsReport{false};

    bool operator==(const batch_grant &) const = default;
};

using rights_body = std::variant<loan_offer, loan_request, loan_grant, loan_return, loan_recall, batch_request, batch_grant>;

/** A message between the rate limiters of two nodes. */
struct rights_message
{
    /** Instance name of the sender. */
    std::string from;
    /** Incarnation of the sender. */
    std::uint64_t incarnation{0};
    rights_body body;

    bool operator==(const rights_message &) const = default;
};

/** Encodes a message with MessagePack, for the payload of an authenticated datagram. */
[[nodiscard]] std::string encodeRightsMessage(const rights_message &message);

/** Decodes a message. Sets the error and returns an empty message if the input is malformed or too long. */
[[nodiscard]] rights_message decodeRightsMessage(std::string_view bytes, std::error_code &error);

} // namespace ragwortpin

#endif
