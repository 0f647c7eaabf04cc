#ifndef RAGWORTPIN_STORE_ETCD_CODEC_H
#define RAGWORTPIN_STORE_ETCD_CODEC_H

#include "ragwortpin/store/store.h"

#include <string>
#include <string_view>

namespace ragwortpin {

/** A call in the JSON form of the etcd v3 gateway, sent by POST. */
struct etcd_call
{
    std::string path;
    std::string body;

    bool operator==(const etcd_call &) const = default;
};

/** Encodes a call. */
[[nodiscard]] etcd_call encodeCall(const store_request &request);

/** Decodes the answer to a call; its error is set for statuses other than 200 and for bodies that are not of the protocol. */
[[nodiscard]] store_reply decodeAnswer(const store_request &request, unsigned httpStatus, std::string_view body);

/** The protocol of the etcd v3 gateway. */
[[nodiscard]] store_protocol etcdProtocol();

} // namespace ragwortpin

#endif
