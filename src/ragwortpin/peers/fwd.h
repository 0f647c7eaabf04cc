#ifndef RAGWORTPIN_PEERS_FWD_H
#define RAGWORTPIN_PEERS_FWD_H

namespace ragwortpin {

enum class peers_errc : int;
enum class datagram_kind : unsigned char;
struct datagram;
struct datagram_result;
struct datagram_secrets;
struct control_endpoint;
struct control_handlers;
class control_duty;

} // namespace ragwortpin

#endif
