#ifndef RAGWORTPIN_STORE_ETCD_CODEC_H
#define RAGWORTPIN_STORE_ETCD_CODEC_H

#include "ragwortpin/store/store.h"

#include <string>
#include <string_view>

namespace ragwortpin {

/** Path and JSON body of a POST request to the etcd v3 gateway. */
struct etcd_request
{
    std::string path;
    std::string body;

    bool operator==(const etcd_request &) const = default;
};

/** Encodes a range or a transaction. A watch is not supported. */
[[nodiscard]] etcd_request encodeRequest(const store_request &request);

/** Decodes the response to a call. Sets the error for a watch, for any status but 200, and for a body that violates the protocol. */
[[nodiscard]] store_reply decodeResponse(const store_request &request, unsigned httpStatus, std::string_view body);

/** Returns the protocol of the etcd v3 JSON gateway, which does not support watches. */
[[nodiscard]] store_protocol etcdProtocol();

} // namespace ragwortpin

#endif
