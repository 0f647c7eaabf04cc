#ifndef RAGWORTPIN_HTTP_FRAMING_H
#define RAGWORTPIN_HTTP_FRAMING_H

#include <boost/beast/http/fields.hpp>
#include <boost/beast/http/message.hpp>
#include <boost/system/error_code.hpp>

#include <vector>

namespace ragwortpin {

/**
 * Checks, once a header section was read, that the rest of the message can be delimited and decoded. Yields bad_transfer_encoding if the
 * message has a transfer coding other than chunked alone: the parser would take its body for one without a coding (RFC 9112, 6.1 and 6.3).
 */
[[nodiscard]] boost::system::error_code checkFraming(const boost::beast::http::request_header<> &header);

/**
 * As for requests. Also yields bad_status for a status that HTTP does not define (RFC 9110, 15), and for 101, as no request asks for it.
 */
[[nodiscard]] boost::system::error_code checkFraming(const boost::beast::http::response_header<> &header);

/**
 * Returns whether the message itself told the parser where it ends. Otherwise it ended with its connection, and is whole only if the
 * connection was closed in order.
 */
template<typename Parser>
[[nodiscard]] bool isFramed(const Parser &parser)
{
    return parser.is_done() && !parser.need_eof();
}

namespace internal {

/** Fields of a header section, in their order. Valid while none of them is removed. */
using field_list = std::vector<const boost::beast::http::fields::value_type *>;

[[nodiscard]] field_list listFields(const boost::beast::http::fields &fields);

/**
 * Removes the fields that are not listed. The parser adds trailers to the fields of the header section, where they must not take effect
 * (RFC 9110, 6.5.1).
 */
void removeUnlistedFields(boost::beast::http::fields &fields, const field_list &listed);

} // namespace internal

} // namespace ragwortpin

#endif
