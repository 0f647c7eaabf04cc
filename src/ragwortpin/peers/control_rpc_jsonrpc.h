#ifndef RAGWORTPIN_PEERS_CONTROL_RPC_JSONRPC_H
#define RAGWORTPIN_PEERS_CONTROL_RPC_JSONRPC_H

#include <cstdint>
#include <functional>
#include <string>

// Included by control_rpc_jsonrpc.cpp, which is compiled as C++14 because the headers of libjsonrpccpp use dynamic exception
// specifications. Do not use later language or library features in this file.

namespace ragwortpin {

/** Answer to configuration.get: the content in force at the answering node, as a patch on the base revision of the caller. */
struct configuration_answer
{
    /** Revision in force at the answering node; 0 if it has no configuration yet. */
    std::uint64_t revision{0};
    /** SHA-256 of the whole text as hexadecimal digits. */
    std::string digest;
    /** Revision that the patch is based on; 0 if the middle is the whole text. */
    std::uint64_t baseRevision{0};
    /** Number of bytes to keep from the start of the base text. */
    std::uint64_t prefixBytes{0};
    /** Number of bytes to keep from the end of the base text. */
    std::uint64_t suffixBytes{0};
    /** Text between the prefix and the suffix. */
    std::string middle;
};

/** Answer to the method status. */
struct status_answer
{
    /** Name of the answering instance. */
    std::string name;
    /** Revision in force; 0 if there is none. */
    std::uint64_t revision{0};
    /** Sentence that says whether a configuration is in force, and the remedy if not. */
    std::string configuration;
    /** Number of instances that are alive according to the node's membership view. */
    std::uint64_t instances{0};
};

/** Functions that implement the control methods of a node. */
struct control_methods
{
    std::function<configuration_answer(std::uint64_t baseRevision)> getConfiguration;
    std::function<status_answer()> getStatus;
};

/** Sends the body of a call and receives the body of its answer. Returns false if no valid answer was received. */
using control_transport = std::function<bool(const std::string &request, std::string &answer)>;

/** Processes the body of a control call and returns the body of the answer. The answer to a malformed call is a JSON-RPC error. */
std::string processControlCall(const control_methods &methods, const std::string &body);

/** Calls configuration.get. Returns false if the transport failed or the answer is not valid. */
bool callGetConfiguration(const control_transport &transport, std::uint64_t baseRevision, configuration_answer &answer);

/** Calls status. Returns false if the transport failed or the answer is not valid. */
bool callGetStatus(const control_transport &transport, status_answer &answer);

} // namespace ragwortpin

#endif
