#include "ragwortpin/dispatch/call.h"

#include <algorithm>
#include <array>
#include <charconv>
#include <cstdio>
#include <string_view>
#include <system_error>

namespace ragwortpin {

namespace {

std::string_view fieldValue(const http_response &response, std::string_view name)
{
    const auto value = response[toBeast(name)];
    return {value.data(), value.size()};
}

template<typename Number>
Number parseNumber(std::string_view text, Number fallback) noexcept
{
    Number value{};
    const auto *end = text.data() + text.size();
    const auto result = std::from_chars(text.data(), end, value);
    return result.ec == std::errc{} && result.ptr == end ? value : fallback;
}

/** Lowest status that by itself does not indicate whether the request ran. */
constexpr unsigned FirstServerError{500};

/** Retry-After of refusals for which no longer time is known. */
constexpr duration MinRetryAfter{milliseconds{200}};

std::string formatSeconds(duration span)
{
    constexpr std::size_t TextSize{16};
    std::array<char, TextSize> text{};
    const auto written = std::snprintf(text.data(), text.size(), "%.3f", toSeconds(span));
    return {text.data(), static_cast<std::size_t>(std::clamp(written, 0, static_cast<int>(text.size()) - 1))};
}

std::string formatShedLevel(const shed_level &level)
{
    return std::to_string(level.rank) + ';' + std::to_string(level.probability);
}

shed_level parseShedLevel(std::string_view text) noexcept
{
    const auto separator = text.find(';');
    if (separator == std::string_view::npos) {
        return {};
    }
    const auto rank = parseNumber(text.substr(0, separator), NoShedRank);
    const auto probability = parseNumber(text.substr(separator + 1), 1.0);
    if (!(probability >= 0.0 && probability <= 1.0)) {
        return {};
    }
    return {rank, probability};
}

} // namespace

call_answer refuseCall(refusal_kind kind, outcome knownOutcome, unsigned unusedAllowance, duration retryAfter)
{
    call_answer answer;
    answer.response = makeRefusalResponse(kind, knownOutcome, retryAfter);
    answer.result = knownOutcome;
    answer.refusal = kind;
    answer.unusedAllowance = unusedAllowance;
    answer.pause = retryAfter;
    return answer;
}

void writeAnswerFields(call_answer &answer)
{
    auto &response = answer.response;
    response.set(toBeast(field::Outcome), toBeast(toToken(answer.result)));
    if (answer.refusal) {
        response.set(toBeast(field::Refusal), toBeast(describe(*answer.refusal).token));
    }
    response.set(toBeast(field::UnusedAllowance), std::to_string(answer.unusedAllowance));
    response.set(toBeast(field::ShedLevel), formatShedLevel(answer.level));
    response.set(toBeast(field::Load), std::to_string(answer.load));
    response.set(toBeast(field::Arrivals), std::to_string(answer.arrivals));
}

call_answer readAnswerFields(http_response response)
{
    call_answer answer;
    answer.result = parseOutcome(fieldValue(response, field::Outcome));
    answer.refusal = parseRefusal(fieldValue(response, field::Refusal));
    answer.unusedAllowance = parseNumber(fieldValue(response, field::UnusedAllowance), 0U);
    answer.level = parseShedLevel(fieldValue(response, field::ShedLevel));
    answer.load = parseNumber(fieldValue(response, field::Load), 0.0);
    const unsigned defaultArrivals{answer.refusal == refusal_kind::ContextInvalid ? 0U : 1U};
    answer.arrivals = parseNumber(fieldValue(response, field::Arrivals), defaultArrivals);
    answer.pause = milliseconds{parseNumber(fieldValue(response, field::PauseMs), 0L)};
    removeInternalFields(response);
    answer.response = std::move(response);
    return answer;
}

http_response toCallerResponse(call_answer answer, bool fractionalRetryAfter)
{
    auto response = std::move(answer.response);
    removeInternalFields(response);
    response.set(toBeast(field::Outcome), toBeast(toToken(answer.result)));
    if (!answer.refusal) {
        return response;
    }
    response.set(toBeast(field::Refusal), toBeast(describe(*answer.refusal).token));
    const bool isInternal{response.result_int() >= FirstServerError || answer.refusal == refusal_kind::ContextInvalid};
    if (answer.result == outcome::NotRun && isInternal) {
        response.result(http::status::service_unavailable);
    }
    const bool mayRetryLater{response.result() == http::status::service_unavailable
                             || response.result() == http::status::too_many_requests};
    if (mayRetryLater && answer.pause <= duration::zero()) {
        answer.pause = MinRetryAfter;
        response.set(http::field::retry_after, "1");
    }
    if (mayRetryLater && fractionalRetryAfter) {
        response.set(http::field::retry_after, formatSeconds(answer.pause));
    }
    return response;
}

} // namespace ragwortpin
