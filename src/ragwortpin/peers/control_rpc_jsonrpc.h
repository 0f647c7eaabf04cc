#ifndef RAGWORTPIN_PEERS_CONTROL_RPC_JSONRPC_H
#define RAGWORTPIN_PEERS_CONTROL_RPC_JSONRPC_H

#include <cstdint>
#include <functional>
#include <string>

// Used from a translation unit that is compiled as C++14; nothing newer belongs here.

namespace ragwortpin {

/** Answer to configuration.get: what is in force at the answering node, expressed by the asking node's base revision. */
struct configuration_answer
{
    /** 0 when the node has no configuration yet. */
    std::uint64_t revision{0};
    /** SHA-256 of the whole text in hexadecimal digits. */
    std::string digest;
    /** Revision that the patch refers to; 0 when the middle is the whole text. */
    std::uint64_t baseRevision{0};
    std::uint64_t prefixBytes{0};
    std::uint64_t suffixBytes{0};
    std::string middle;
};

/** Answer to status. */
struct status_answer
{
    std::string name;
    /** Revision in force; 0 for none. */
    std::uint64_t revision{0};
    /** Whether the node has a configuration, and the remedy if not. */
    std::string configuration;
    /** Instances that the node believes alive. */
    std::uint64_t instances{0};
};

/** What the control methods of a node answer. */
struct control_methods
{
    std::function<configuration_answer(std::uint64_t baseRevision)> getConfiguration;
    std::function<status_answer()> getStatus;
};

/** Sends the body of a call and receives the body of its answer; false when there is none. */
using control_transport = std::function<bool(const std::string &request, std::string &answer)>;

/** Processes the body of a control call and returns the body of its answer; malformed ones are answered with a JSON-RPC error. */
std::string processControlCall(const control_methods &methods, const std::string &body);

/** Calls configuration.get. Returns false when the transport failed or the answer is not valid. */
bool callGetConfiguration(const control_transport &transport, std::uint64_t baseRevision, configuration_answer &answer);

/** Calls status. Returns false when the transport failed or the answer is not valid. */
bool callGetStatus(const control_transport &transport, status_answer &answer);

} // namespace ragwortpin

#endif
