#ifndef RAGWORTPIN_HTTP_FRAMING_H
#define RAGWORTPIN_HTTP_FRAMING_H

#include <boost/beast/http/message.hpp>
#include <boost/system/error_code.hpp>

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

} // namespace ragwortpin

#endif
