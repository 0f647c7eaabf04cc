#ifndef RAGWORTPIN_STANDINS_SUPPORT_HTTP_TYPES_H
#define RAGWORTPIN_STANDINS_SUPPORT_HTTP_TYPES_H

#include <boost/beast/http/message.hpp>
#include <boost/beast/http/string_body.hpp>

namespace ragwortpin::standins {

using http_request = boost::beast::http::request<boost::beast::http::string_body>;
using http_response = boost::beast::http::response<boost::beast::http::string_body>;

} // namespace ragwortpin::standins

#endif
