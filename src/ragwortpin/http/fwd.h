#ifndef RAGWORTPIN_HTTP_FWD_H
#define RAGWORTPIN_HTTP_FWD_H

namespace ragwortpin {

class call_control;
class http_server;
class http_client_pool;
struct http_limits;
struct endpoint;
struct exchange_result;
struct exchange_options;
struct header_names;

} // namespace ragwortpin

#endif
