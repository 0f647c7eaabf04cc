#include "ragwortpin/rates/headroom_loan.h"

#include "ragwortpin/core/wire.h"

#include <algorithm>
#include <tuple>

namespace ragwortpin {

namespace {

/** Headroom per message, in requests. More than one, so that a busy node does not send a message for each request. */
constexpr std::uint32_t RequestedHeadroom{2};

/** Covers a round trip to a peer of the same availability zone. Short, since a pending request delays the next one if its answer is lost.
 */
constexpr milliseconds AnswerTimeout{60};

template<typename Message>
[[nodiscard]] auto wireFieldsOf(Message &message)
{
    return std::tie(message.isAnswer, message.number, message.workspace, message.requests);
}

} // namespace

static auto wireFields(headroom_message &message)
{
    return wireFieldsOf(message);
}

static auto wireFields(const headroom_message &message)
{
    return wireFieldsOf(message);
}

std::string encode(const headroom_message &message)
{
    return internal::encodeStruct(message);
}

std::optional<headroom_message> decodeHeadroomMessage(std::string_view payload)
{
    return internal::decodeStruct<headroom_message>(payload);
}

bool isHeadroomRequested(const pending_headroom_requests &questions, std::uint32_t workspace) noexcept
{
    return std::any_of(questions.pending.begin(), questions.pending.end(), [workspace](const auto &request) {
        return request.workspace == workspace;
    });
}

headroom_message requestHeadroom(pending_headroom_requests &questions, std::uint32_t workspace, time_point now)
{
    const auto number = ++questions.lastNumber;
    questions.pending.push_back({number, workspace, now});
    return {.isAnswer = false, .number = number, .workspace = workspace, .requests = RequestedHeadroom};
}

void expireHeadroomRequests(pending_headroom_requests &questions, time_point now)
{
    std::erase_if(questions.pending, [now](const auto &request) {
        return now - request.sentAt > duration{AnswerTimeout};
    });
}

headroom_message answerHeadroomRequest(shared_rates &rates, const headroom_message &question, time_point now)
{
    auto answer = question;
    answer.isAnswer = true;
    answer.requests = lendHeadroom(rates, question.workspace, std::min(question.requests, RequestedHeadroom), now);
    return answer;
}

bool acceptHeadroom(shared_rates &rates, pending_headroom_requests &questions, const headroom_message &answer)
{
    const auto found = std::find_if(questions.pending.begin(), questions.pending.end(), [&answer](const auto &request) {
        return request.number == answer.number && request.workspace == answer.workspace;
    });
    if (found == questions.pending.end()) {
        return false;
    }
    questions.pending.erase(found);
    addHeadroom(rates, answer.workspace, std::min(answer.requests, RequestedHeadroom));
    return true;
}

} // namespace ragwortpin
